/**
 * The callers' HTTP interface. A caller names a catalogue entry and presents its team's key; it
 * waits for the outcome or takes a receipt and asks again later. Open entries need no key.
 */
import { Hono, type Context } from 'hono';
import { match } from 'ts-pattern';
import { findKey } from '../catalogue/index.js';
import {
  mintRequestId,
  mintedAt,
  refuse,
  type Cancellation,
  type CatalogueEntry,
  type Configuration,
  type Outcome,
  type Refused,
  type RequestStatus,
  type WorkRequest,
} from '../model/index.js';
import { createAttemptRefusal, createProblem, createRefusal, createUnknown } from './problem.js';
import { parseRawSubmission, parseSubmission, readBody, type Submission } from './submission.js';

/** What became of a submission: accepted for later, or an outcome. */
export type SubmissionResult =
  | { readonly kind: 'accepted'; readonly outcome: Promise<Outcome> }
  | { readonly kind: 'outcome'; readonly outcome: Outcome };

/** What the entry host does for its callers. */
export interface CallerBackend {
  configuration(): Configuration | undefined;
  /** Whether the keys in force are known to be current. */
  keysCurrent(): boolean;
  /** Whether the host takes new work. */
  accepting(): boolean;
  submit(request: WorkRequest): Promise<SubmissionResult>;
  status(team: string, id: string, waitMs: number): Promise<RequestStatus | 'not-found' | Outcome>;
  cancel(team: string, id: string): Promise<Cancellation | Outcome>;
}

/** Limits of the callers' interface, from the settings. */
export interface CallerLimits {
  /** Largest request body of any entry, in bytes. */
  readonly maxBodyBytes: number;
  /** Oldest accepted request id, in milliseconds. */
  readonly maxIdAgeMs: number;
  /** How far a caller's clock may be ahead, in milliseconds. */
  readonly maxClockSkewMs: number;
}

interface CallerOptions {
  readonly backend: CallerBackend;
  readonly limits: CallerLimits;
  readonly now: () => number;
}

/** JSON around the input of the JSON form: names, id, deadline. */
const ENVELOPE_BYTES = 1024;
const MAX_STATUS_WAIT_MS = 30_000;
const KEYS_RETRY_MS = 1000;
const SHUTDOWN_RETRY_MS = 1000;

/** Creates the HTTP application for callers. */
export function createCallerApp(options: CallerOptions): Hono {
  const app = new Hono();
  const { backend } = options;
  app.get('/healthz', (context) =>
    backend.accepting()
      ? context.json({ status: 'ok' })
      : context.json({ status: 'shutting-down' }, 503),
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
  const limit = options.limits.maxBodyBytes + ENVELOPE_BYTES;
  const body = await readBody(context.req.raw, limit);
  if (body === undefined) return createRefusal(tooLarge(limit));
  const submission = parseSubmission(body);
  if (submission.isErr()) {
    return createRefusal(submission.error.refused, undefined, submission.error.findings);
  }
  return submitWork(options, context, submission.value);
}

async function submitRaw(options: CallerOptions, context: Context): Promise<Response> {
  const body = await readBody(context.req.raw, options.limits.maxBodyBytes);
  if (body === undefined) return createRefusal(tooLarge(options.limits.maxBodyBytes));
  const entry = context.req.param('entry') ?? '';
  const submission = parseRawSubmission(entry, context.req.raw.headers, body);
  if (submission.isErr()) {
    return createRefusal(submission.error.refused, undefined, submission.error.findings);
  }
  return submitWork(options, context, submission.value);
}

async function submitWork(
  options: CallerOptions,
  context: Context,
  submission: Submission,
): Promise<Response> {
  const { backend } = options;
  const id = submission.id ?? mintRequestId();
  const checked = checkSubmission(options, context, submission);
  if ('kind' in checked) {
    return submission.id === undefined
      ? createRefusal(checked)
      : createAttemptRefusal(checked, submission.id);
  }
  const request = buildRequest(options, checked, submission, id);
  const result = await backend.submit(request);
  if (result.kind === 'outcome') return describeOutcome(result.outcome, id);
  const waits = submission.wait ?? checked.entry.class === 'interactive';
  if (waits) return describeOutcome(await result.outcome, id);
  return describeReceipt(id, checked.entry.name);
}

interface Authorized {
  readonly entry: CatalogueEntry;
  readonly team: string;
}

/** Checks everything that can be decided before the request enters a queue. */
function checkSubmission(
  options: CallerOptions,
  context: Context,
  submission: Submission,
): Authorized | Refused {
  const { backend, limits } = options;
  const configuration = backend.configuration();
  if (!backend.accepting()) {
    return refuse(
      'shutting-down',
      'This host is leaving; send the request to another one.',
      SHUTDOWN_RETRY_MS,
    );
  }
  if (configuration === undefined) {
    return refuse(
      'keys-not-current',
      'This host has no configuration yet; try again.',
      KEYS_RETRY_MS,
    );
  }
  const entry = configuration.entries.get(submission.entry);
  if (entry === undefined) {
    return refuse(
      'unknown-entry',
      `The catalogue has no entry "${submission.entry}"; correct the name.`,
    );
  }
  const team = authorize(backend, configuration, entry, bearerOf(context));
  if (typeof team !== 'string') return team;
  if (submission.input.byteLength > entry.maxInputBytes) return tooLarge(entry.maxInputBytes);
  return checkId(submission.id, options.now(), limits) ?? { entry, team };
}

/** The team that the work is charged to, or why the key does not allow the work. */
function authorize(
  backend: CallerBackend,
  configuration: Configuration,
  entry: CatalogueEntry,
  secret: string | undefined,
): string | Refused {
  if (entry.open) return entry.owner;
  const key = identify(backend, configuration, secret);
  if ('kind' in key) return key;
  if (key.team === entry.owner) return key.team;
  return refuse(
    'wrong-team',
    `The key belongs to team "${key.team}" and the entry "${entry.name}" to another team; use a key of the owner.`,
  );
}

function identify(
  backend: CallerBackend,
  configuration: Configuration,
  secret: string | undefined,
): { readonly team: string } | Refused {
  if (secret === undefined) {
    return refuse('not-authorized', 'Send the key of a team as "Authorization: Bearer <key>".');
  }
  if (!backend.keysCurrent()) {
    return refuse(
      'keys-not-current',
      'This host cannot tell whether keys were withdrawn; try another host or try again.',
      KEYS_RETRY_MS,
    );
  }
  const key = findKey(configuration, secret);
  if (key?.role !== 'submitter') {
    return refuse('not-authorized', 'The key is not in force; ask an operator for a new one.');
  }
  return key;
}

function checkId(id: string | undefined, now: number, limits: CallerLimits): Refused | undefined {
  if (id === undefined) return undefined;
  const age = now - mintedAt(id);
  if (age > limits.maxIdAgeMs) {
    return refuse(
      'id-too-old',
      `The id is older than ${String(limits.maxIdAgeMs)} ms, so a repeat can no longer be told from a new request; ask for its status or mint a new id.`,
    );
  }
  if (age < -limits.maxClockSkewMs) {
    return refuse(
      'id-in-future',
      `The id was minted more than ${String(limits.maxClockSkewMs)} ms in the future; correct the clock.`,
    );
  }
  return undefined;
}

function buildRequest(
  options: CallerOptions,
  { entry, team }: Authorized,
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
  const team = identifyCaller(options, context);
  if (typeof team !== 'string') return createRefusal(team, id);
  const waitMs = Math.min(Number(context.req.query('waitMs') ?? 0) || 0, MAX_STATUS_WAIT_MS);
  const status = await options.backend.status(team, id, waitMs);
  if (status === 'not-found') return notFound(id);
  if ('kind' in status) return describeOutcome(status, id);
  if (status.outcome !== undefined) return describeOutcome(status.outcome, id);
  return describeReceipt(id, status.entry, status.state);
}

async function cancelRequest(options: CallerOptions, context: Context): Promise<Response> {
  const id = context.req.param('id') ?? '';
  const team = identifyCaller(options, context);
  if (typeof team !== 'string') return createRefusal(team, id);
  const cancellation = await options.backend.cancel(team, id);
  if (typeof cancellation !== 'string') return describeOutcome(cancellation, id);
  return match(cancellation)
    .with('not-found', () => notFound(id))
    .otherwise((result) => context.json({ id, cancellation: result }));
}

/** Requests of open entries belong to the owner of the entry, whose key reads them. */
function identifyCaller(options: CallerOptions, context: Context): string | Refused {
  const configuration = options.backend.configuration();
  if (configuration === undefined) {
    return refuse('keys-not-current', 'This host has no configuration yet.', KEYS_RETRY_MS);
  }
  const key = identify(options.backend, configuration, bearerOf(context));
  return 'kind' in key ? key : key.team;
}

function describeOutcome(outcome: Outcome, id: string): Response {
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

function describeReceipt(id: string, entry: string, state = 'queued'): Response {
  const href = `/v1/requests/${id}`;
  return new Response(JSON.stringify({ outcome: 'accepted', id, entry, state, href }) + '\n', {
    status: 202,
    headers: { 'content-type': 'application/json', location: href, 'sapphirewing-request': id },
  });
}

function notFound(id: string): Response {
  return createProblem({
    status: 404,
    title: 'No such request',
    detail: `No host knows a request ${id} of this team; it was never accepted or ended too long ago.`,
    members: { id },
  });
}

function tooLarge(limit: number): Refused {
  return refuse('too-large', `The input is larger than ${String(limit)} bytes; send less.`);
}

/** The secret that a request presents as its bearer token. */
export function bearerOf(context: Context): string | undefined {
  const header = context.req.header('authorization');
  return header?.startsWith('Bearer ') === true ? header.slice('Bearer '.length) : undefined;
}
