/**
 * The HTTP API for callers. A caller names a catalogue entry and sends its team's key; it either
 * waits for the outcome or gets a receipt and polls the status. Open entries need no key.
 */
import { Hono, type Context } from 'hono';
import type { Result } from 'neverthrow';
import { match } from 'ts-pattern';
import { createRequestId, type Outcome, type WorkRequest } from '../model/index.js';
import {
  checkAccessBeforeBody,
  checkSubmission,
  authenticateCaller,
  tooLarge,
  type Authorization,
} from './authorization.js';
import type { CallerOptions } from './backend.js';
import { createAttemptRefusal, createProblem, createRefusal, createUnknown } from './problem.js';
import { withBody, type WithBodyOptions } from './body.js';
import {
  parseRawSubmission,
  parseSubmission,
  type MalformedSubmission,
  type Submission,
} from './submission.js';

/** Allowance for the other members of the JSON form, such as entry, id and deadline. */
const MAX_ENVELOPE_BYTES = 1024;
const MAX_STATUS_WAIT_MS = 30_000;

/** Creates the HTTP application for callers. */
export function createCallerApp(options: CallerOptions): Hono {
  const app = new Hono();
  const { backend } = options;
  app.get('/healthz', (context) =>
    backend.accepting()
      ? context.json({ status: 'ok' })
      : context.json({ status: 'not-serving' }, 503),
  );
  app.post('/v1/requests', async (context) => submitJson(options, context));
  app.post('/v1/entries/:entry/requests', async (context) => submitRaw(options, context));
  app.get('/v1/requests/:id', async (context) => readStatus(options, context));
  app.delete('/v1/requests/:id', async (context) => cancelRequest(options, context));
  app.notFound((context) =>
    createProblem({
      status: 404,
      title: 'No such route',
      detail: `${context.req.method} ${context.req.path} is not part of this interface; see the README for its routes.`,
    }),
  );
  return app;
}

async function submitJson(options: CallerOptions, context: Context): Promise<Response> {
  const denied = checkAccessBeforeBody(options, context, undefined);
  if (denied !== undefined) return createAttemptRefusal(denied);
  const maxBytes = options.limits.maxBodyBytes + MAX_ENVELOPE_BYTES;
  return withBody(context, limitBody(options, maxBytes), async (body) =>
    submitParsed(options, context, parseSubmission(body)),
  );
}

async function submitRaw(options: CallerOptions, context: Context): Promise<Response> {
  const entry = context.req.param('entry') ?? '';
  const denied = checkAccessBeforeBody(options, context, entry);
  if (denied !== undefined) {
    return createAttemptRefusal(denied, context.req.header('request-id'));
  }
  const { headers } = context.req.raw;
  return withBody(context, limitBody(options, options.limits.maxBodyBytes), async (body) =>
    submitParsed(options, context, parseRawSubmission(entry, headers, body)),
  );
}

function limitBody({ bodies }: CallerOptions, maxBytes: number): WithBodyOptions {
  return { maxBytes, limits: bodies, respondTooLarge: () => createRefusal(tooLarge(maxBytes)) };
}

async function submitParsed(
  options: CallerOptions,
  context: Context,
  submission: Result<Submission, MalformedSubmission>,
): Promise<Response> {
  if (submission.isOk()) return submitWork(options, context, submission.value);
  return createRefusal(submission.error.refused, undefined, submission.error.findings);
}

async function submitWork(
  options: CallerOptions,
  context: Context,
  submission: Submission,
): Promise<Response> {
  const { backend } = options;
  const id = submission.id ?? createRequestId();
  const checked = checkSubmission(options, context, submission);
  if ('kind' in checked) {
    return checked.kind === 'refused' && submission.id !== undefined
      ? createAttemptRefusal(checked, submission.id)
      : createOutcomeResponse(checked, id);
  }
  const request = buildRequest(options, checked, submission, id);
  const result = await backend.submit(request);
  if (result.kind === 'outcome') return createOutcomeResponse(result.outcome, id);
  const waits = submission.wait ?? checked.entry.class === 'interactive';
  if (waits) return createOutcomeResponse(await result.outcome, id);
  return createReceiptResponse(id, checked.entry.name);
}

function buildRequest(
  options: CallerOptions,
  { entry, team }: Authorization,
  submission: Submission,
  id: string,
): WorkRequest {
  const submittedAt = options.now();
  const deadlineMs = Math.min(submission.deadlineMs ?? entry.deadlineMs, entry.deadlineMs);
  return {
    id,
    callerId: submission.id !== undefined,
    team,
    entry: entry.name,
    class: entry.class,
    idempotent: entry.idempotent,
    size: entry.size,
    tasks: entry.tasks,
    input: submission.input,
    contentType: submission.contentType,
    submittedAt,
    startBefore: submittedAt + deadlineMs,
    maxRunMs: entry.maxRunMs,
    maxAttempts: entry.maxAttempts,
    hops: [],
  };
}

async function readStatus(options: CallerOptions, context: Context): Promise<Response> {
  const id = context.req.param('id') ?? '';
  const team = authenticateCaller(options, context);
  if (typeof team !== 'string') return createRefusal(team, id);
  const waitMs = Math.min(Number(context.req.query('waitMs') ?? 0) || 0, MAX_STATUS_WAIT_MS);
  const status = await options.backend.status(team, id, waitMs);
  if (status === 'not-found') return createNotFoundResponse(id);
  if ('kind' in status) return createOutcomeResponse(status, id);
  if (status.outcome !== undefined) return createOutcomeResponse(status.outcome, id);
  return createReceiptResponse(id, status.entry, status.state);
}

async function cancelRequest(options: CallerOptions, context: Context): Promise<Response> {
  const id = context.req.param('id') ?? '';
  const team = authenticateCaller(options, context);
  if (typeof team !== 'string') return createRefusal(team, id);
  const cancellation = await options.backend.cancel(team, id);
  if (typeof cancellation !== 'string') return createOutcomeResponse(cancellation, id);
  return match(cancellation)
    .with('not-found', () => createNotFoundResponse(id))
    .otherwise((result) => context.json({ id, cancellation: result }));
}

function createOutcomeResponse(outcome: Outcome, id: string): Response {
  return match(outcome)
    .with({ kind: 'done' }, (done) => {
      return new Response(Buffer.from(done.body), {
        status: 200,
        headers: {
          'content-type': done.contentType,
          'sapphirewing-outcome': 'done',
          'sapphirewing-request': id,
          'sapphirewing-worker': done.worker,
          'sapphirewing-task-status': String(done.status),
        },
      });
    })
    .with({ kind: 'refused' }, (refused) => createRefusal(refused, id))
    .with({ kind: 'unknown' }, (unknown) => createUnknown(unknown, id))
    .exhaustive();
}

function createReceiptResponse(id: string, entry: string, state = 'queued'): Response {
  const href = `/v1/requests/${id}`;
  return new Response(JSON.stringify({ outcome: 'accepted', id, entry, state, href }) + '\n', {
    status: 202,
    headers: { 'content-type': 'application/json', location: href, 'sapphirewing-request': id },
  });
}

function createNotFoundResponse(id: string): Response {
  return createProblem({
    status: 404,
    title: 'No such request',
    detail: `No host knows a request ${id} of this team; it was never accepted or ended too long ago.`,
    members: { id },
  });
}
