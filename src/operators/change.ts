/**
 * Handles configuration changes sent over HTTP.
 */
import { err, ok, type Result } from 'neverthrow';
import { match } from 'ts-pattern';
import { z } from 'zod';
import { createProblem, withBody } from '../callers/index.js';
import type { BodyLimits } from '../callers/index.js';
import type { BodySource } from '../client-limits/index.js';
import type { ChangeError, ConfigurationChange, OperatorBackend } from './backend.js';

/**
 * The store accepts values of up to one megabyte. The stored record has almost the same form as the
 * body, and the margin of 1024 bytes covers the difference.
 */
const MAX_BODY_BYTES = 1_000_000 - 1024;
const MAX_ID_CHARS = 64;
const STORE_RETRY_AFTER_S = 1;

const changeSchema = z.strictObject({
  text: z.string('send the configuration text'),
  baseRevision: z.number('send the revision that the change is based on').int().min(0),
  changeId: z.string('send a unique id of the change').min(1).max(MAX_ID_CHARS),
});

/** Applies the change in the request and returns the response for its result. */
export async function putConfiguration(
  backend: OperatorBackend,
  source: BodySource,
  limits: BodyLimits,
  operator: string,
): Promise<Response> {
  return withBody(
    source,
    { maxBytes: MAX_BODY_BYTES, limits, respondTooLarge },
    async (body): Promise<Response> => {
      const change = parseChange(body);
      return change.isErr() ? change.error : applyChange(backend, { ...change.value, operator });
    },
  );
}

async function applyChange(
  backend: OperatorBackend,
  change: ConfigurationChange,
): Promise<Response> {
  // A host that has not read the configuration cannot tell whether the bootstrap key is still accepted.
  if (backend.configuration() === undefined && change.baseRevision !== 0) {
    const detail = 'This host has no configuration yet; try another host or try again.';
    return createErrorResponse({ kind: 'unavailable', detail });
  }
  const applied = await backend.apply(change);
  return applied.match((value) => Response.json(value), createErrorResponse);
}

function respondTooLarge(): Response {
  const detail = `The configuration is larger than the store accepts (${String(MAX_BODY_BYTES)} bytes); shorten it.`;
  return createProblem({ status: 413, title: 'The configuration is too large', detail });
}

function parseChange(body: Uint8Array): Result<Omit<ConfigurationChange, 'operator'>, Response> {
  const parsed = changeSchema.safeParse(parseJson(body));
  if (parsed.success) return ok(parsed.data);
  const findings = parsed.error.issues.map(({ path, message }) => ({
    place: path.map(String).join('.') || 'body',
    problem: message,
  }));
  return err(
    createProblem({
      status: 400,
      title: 'The request has mistakes',
      detail: 'Send a JSON document with text, baseRevision and changeId.',
      members: { mistakes: findings },
    }),
  );
}

function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'));
  } catch {
    return undefined;
  }
}

function createErrorResponse(error: ChangeError): Response {
  return match(error)
    .with({ kind: 'conflict' }, ({ revision }) =>
      createProblem({
        status: 409,
        title: 'The configuration has changed',
        detail: `Revision ${String(revision)} is in force; read it, merge the change and apply again.`,
        members: { kind: 'conflict', revision },
      }),
    )
    .with({ kind: 'invalid' }, ({ findings }) =>
      createProblem({
        status: 422,
        title: 'The configuration has findings',
        detail: 'Correct the findings and apply again.',
        members: { kind: 'invalid', findings },
      }),
    )
    .with({ kind: 'unavailable' }, { kind: 'in-doubt' }, ({ kind, detail }) =>
      createProblem({
        status: 503,
        title:
          kind === 'in-doubt'
            ? 'The change may have been applied; read the configuration back'
            : 'The change was not applied',
        detail,
        headers: { 'retry-after': String(STORE_RETRY_AFTER_S) },
        members: { kind },
      }),
    )
    .exhaustive();
}
