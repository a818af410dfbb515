/**
 * Receives the body of a request within its size and the budget of the host.
 */
import { collectRequestBody } from '../client-limits/index.js';
import type {
  BodySource,
  ByteBudget,
  CollectedBody,
  FragmentedBodies,
  LimitCause,
} from '../client-limits/index.js';
import { refuse } from '../model/index.js';
import { createAttemptRefusal } from './problem.js';

/** Limits of bodies, which all requests of a host share. */
export interface BodyLimits {
  readonly budget: ByteBudget;
  readonly maxSmallChunks: number;
  readonly fragmentedBodies?: FragmentedBodies;
  /** Counts a request that a limit has refused. */
  readonly record: (cause: LimitCause) => void;
}

export interface WithBodyOptions {
  readonly maxBytes: number;
  readonly limits: BodyLimits;
  readonly respondTooLarge: () => Response;
}

/** Room comes back as soon as other bodies are complete or time out. */
const RETRY_AFTER_MS = 1000;

/** Calls `use` with the body, which stays charged to the budget until the response, or refuses the request. */
export async function withBody(
  source: BodySource,
  { maxBytes, limits, respondTooLarge }: WithBodyOptions,
  use: (body: Uint8Array) => Promise<Response>,
): Promise<Response> {
  const collector = collectRequestBody(source, { ...limits, maxBytes });
  try {
    const body = await collector.collected;
    if (body.kind === 'complete') return await use(body.bytes);
    if (body.kind !== 'too-large') return respondIncomplete(limits, body.kind);
    limits.record('body-too-large');
    return respondTooLarge();
  } finally {
    collector.release();
  }
}

/** The id of the request is not known, so the refusal implies nothing about earlier attempts. */
function respondIncomplete(
  { record }: BodyLimits,
  kind: Exclude<CollectedBody['kind'], 'complete' | 'too-large'>,
): Response {
  if (kind !== 'no-room') {
    if (kind !== 'aborted') record(`body-${kind}`);
    return createAttemptRefusal(refuse('malformed', 'The body is incomplete; send all of it.'));
  }
  record('buffer-full');
  const detail = 'This host has no room for another body; try again.';
  return createAttemptRefusal(refuse('no-capacity', detail, RETRY_AFTER_MS));
}
