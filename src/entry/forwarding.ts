/**
 * Sends requests to other entry hosts and follows what became of them. A request that may have
 * reached the peer is never sent again.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { Links } from '../links/index.js';
import {
  refuse,
  unknownOutcome,
  type Outcome,
  type RequestStatus,
  type WorkRequest,
} from '../model/index.js';
import type { Timeline } from '../timeline/index.js';
import type { ForwardMessage, PeerMessages } from './messages.js';

/** Added to the longest time that a forwarded request can take before its reply counts as lost. */
const REPLY_MARGIN_MS = 15_000;
const FOLLOW_WAIT_MS = 5000;
const FOLLOW_TIMEOUT_MS = 10_000;
const RETRY_MS = 500;
const STATUS_TIMEOUT_MS = 2000;
/** A dead host is suspected, and then its jobs are adopted, within this number of retries. */
const ADOPTION_TRIES = 40;

/** What a peer made of a request; `not-sent` states that the peer certainly did not get it. */
export type ForwardResult =
  | { readonly kind: 'not-sent' }
  | { readonly kind: 'outcome'; readonly outcome: Outcome }
  | { readonly kind: 'accepted'; readonly host: string };

export interface RequestForwarder {
  forward(host: string, message: ForwardMessage): Promise<ForwardResult>;
  /** Asks the host that accepted a job, and the host that adopts it, until the job has ended. */
  awaitOutcome(host: string, team: string, id: string): Promise<Outcome>;
  /** Follows a job that this host handed over, wherever it is adopted. */
  awaitOutcomeAnywhere(team: string, id: string): Promise<Outcome>;
  /** The state of a request at any linked host that knows it. */
  findStatus(team: string, id: string, waitMs: number): Promise<RequestStatus | undefined>;
}

export function createRequestForwarder(options: {
  readonly links: Links<PeerMessages>;
  readonly timeline: Timeline;
  readonly now: () => number;
  /** The state of a request in the table of this host, which may have adopted the job. */
  readonly waitHere: (
    team: string,
    id: string,
    waitMs: number,
  ) => Promise<RequestStatus | undefined>;
}): RequestForwarder {
  const { links, timeline, now } = options;

  async function forward(host: string, message: ForwardMessage): Promise<ForwardResult> {
    const { id, team } = message.request;
    timeline.record({ kind: 'forwarded', request: id, team, detail: `${message.stage} ${host}` });
    const timeoutMs = longestReply(message.request, now());
    const reply = await links.request(host, 'forward', message, { timeoutMs });
    if (reply.isOk()) return reply.value;
    if (reply.error.kind === 'not-connected') return { kind: 'not-sent' };
    const detail = `Host ${host} had the request and did not answer: ${reply.error.detail}`;
    return { kind: 'outcome', outcome: unknownOutcome(detail) };
  }

  async function follow(host: string, team: string, id: string): Promise<Outcome> {
    for (;;) {
      const status = await askStatus(host, team, id);
      // A host that is gone has left the job to another one.
      if (status === undefined) return followAnywhere(team, id);
      if (status.outcome !== undefined) return status.outcome;
    }
  }

  async function askStatus(
    host: string,
    team: string,
    id: string,
  ): Promise<RequestStatus | undefined> {
    const reply = await links.request(
      host,
      'status',
      { team, id, waitMs: FOLLOW_WAIT_MS },
      { timeoutMs: FOLLOW_TIMEOUT_MS },
    );
    return reply.unwrapOr(null) ?? undefined;
  }

  async function findStatus(
    team: string,
    id: string,
    waitMs: number,
  ): Promise<RequestStatus | undefined> {
    const replies = await Promise.all(
      links.connectedHosts().map(async (peer) => {
        const reply = await links.request(
          peer,
          'status',
          { team, id, waitMs },
          { timeoutMs: waitMs + STATUS_TIMEOUT_MS },
        );
        return reply.unwrapOr(null);
      }),
    );
    const known = replies.filter((reply) => reply !== null);
    // A host that lost contact with the job's coordinator knows less than one that still runs it.
    return (
      known.find(({ outcome }) => outcome !== undefined && outcome.kind !== 'unknown') ??
      known.find(({ outcome }) => outcome === undefined) ??
      known[0]
    );
  }

  /** The end of a job here or elsewhere, or whether a peer still knows the job. */
  async function findEnd(team: string, id: string): Promise<RequestStatus | undefined> {
    const here = options.waitHere(team, id, FOLLOW_WAIT_MS);
    const elsewhere = findStatus(team, id, FOLLOW_WAIT_MS);
    const first = await Promise.race([here, elsewhere]);
    if (first?.outcome !== undefined) return first;
    const own = await here;
    return own?.outcome === undefined ? elsewhere : own;
  }

  async function followAnywhere(team: string, id: string): Promise<Outcome> {
    for (let misses = 0; misses < ADOPTION_TRIES;) {
      const status = await findEnd(team, id);
      if (status?.outcome !== undefined) return status.outcome;
      if (status === undefined) misses += 1;
      await delay(RETRY_MS, undefined, { ref: false });
    }
    return unknownOutcome('Another host continues the job; ask for its status.');
  }

  return { forward, awaitOutcome: follow, awaitOutcomeAnywhere: followAnywhere, findStatus };
}

/** Jobs are answered with a receipt; only interactive requests are answered when they end. */
function longestReply(request: WorkRequest, now: number): number {
  if (request.class !== 'interactive') return REPLY_MARGIN_MS;
  return Math.max(0, request.startBefore - now) + request.maxRunMs + REPLY_MARGIN_MS;
}

/** The refusal when no host can take a request. */
export function refuseNoCapacity(): Outcome {
  return refuse(
    'no-capacity',
    'No host with workers can be reached at present; try again.',
    RETRY_MS,
  );
}
