/**
 * Chooses the entry host whose workers run a request. A host prefers its own workers, then a peer
 * of its data centre with room, then another data centre, then the shortest wait.
 */
import type { Heartbeat, Membership } from '../hosts/index.js';
import { fitsWithin, type Host, type WorkRequest } from '../model/index.js';
import type { Scheduler } from '../scheduling/index.js';

/** Placement hops after which a request is queued where it is. */
const MAX_HOPS = 2;

/** A request crosses to another data centre only if it would wait longer than this here. */
const CROSS_WAIT_MS = 5;

/** Where a request goes: this host, a peer, or nowhere at present. */
export type Route =
  | { readonly kind: 'local' }
  | { readonly kind: 'peer'; readonly host: string }
  | { readonly kind: 'none' };

export interface Router {
  route(request: WorkRequest, excluded?: ReadonlySet<string>): Route;
  /** Counts a forwarded request against the peer until its reply or the peer's next heartbeat. */
  recordForward(host: string): void;
  recordReply(host: string): void;
}

interface RouterOptions {
  readonly host: Host;
  readonly membership: Membership;
  readonly scheduler: Scheduler;
  readonly connected: () => readonly string[];
  /** Whether this host starts new work; false while it shuts down. */
  readonly accepting: () => boolean;
  /** Tasks that a team may still start here. */
  readonly spare: (team: string) => number;
}

export function createRouter(options: RouterOptions): Router {
  const { host, membership, scheduler } = options;
  const outstanding = new Map<string, number>();

  function route(request: WorkRequest, excluded: ReadonlySet<string> = new Set()): Route {
    const own = scheduler.load();
    const canQueue = options.accepting() && own.capacity.processors > 0;
    if (canQueue && hasRoomHere(request)) return { kind: 'local' };
    if (request.hops.length >= MAX_HOPS && canQueue) return { kind: 'local' };
    const peers = candidates(request, excluded);
    const near = peers.filter((beat) => beat.dataCentre === host.dataCentre);
    const far = peers.filter((beat) => beat.dataCentre !== host.dataCentre);
    const free =
      mostRoom(near, request) ??
      (canQueue && own.waitMs < CROSS_WAIT_MS && own.queued.interactive === 0
        ? undefined
        : mostRoom(far, request));
    if (free !== undefined) return { kind: 'peer', host: free.host };
    if (canQueue) return { kind: 'local' };
    const shortest = shortestQueue(near) ?? shortestQueue(far);
    return shortest === undefined ? { kind: 'none' } : { kind: 'peer', host: shortest.host };
  }

  function hasRoomHere(request: WorkRequest): boolean {
    const own = scheduler.load();
    if (own.queued[request.class] > 0 || own.freeSlots < 1) return false;
    return fitsWithin(request.size, own.largestFree) && options.spare(request.team) > 0;
  }

  function candidates(request: WorkRequest, excluded: ReadonlySet<string>): readonly Heartbeat[] {
    const live = new Set(membership.live());
    return options
      .connected()
      .filter((id) => live.has(id) && !excluded.has(id) && !request.hops.includes(id))
      .map((id) => membership.heartbeat(id))
      .filter((beat) => beat !== undefined)
      .filter((beat) => beat.state === 'live' && beat.load.capacity.processors > 0);
  }

  function roomOf(beat: Heartbeat): number {
    return beat.load.freeSlots - (outstanding.get(beat.host) ?? 0);
  }

  function mostRoom(beats: readonly Heartbeat[], request: WorkRequest): Heartbeat | undefined {
    const fitting = beats.filter(
      (beat) =>
        roomOf(beat) > 0 &&
        beat.load.queued[request.class] === 0 &&
        fitsWithin(request.size, beat.load.largestFree) &&
        (beat.load.teams[request.team]?.spare ?? 0) > 0,
    );
    return maxBy(fitting, roomOf);
  }

  return {
    route,
    recordForward: (id) => outstanding.set(id, (outstanding.get(id) ?? 0) + 1),
    recordReply: (id) => outstanding.set(id, Math.max(0, (outstanding.get(id) ?? 0) - 1)),
  };
}

function shortestQueue(beats: readonly Heartbeat[]): Heartbeat | undefined {
  return maxBy(beats, (beat) => -beat.load.waitMs - beat.load.queued.interactive);
}

function maxBy<T>(items: readonly T[], score: (item: T) => number): T | undefined {
  let best: T | undefined;
  let bestScore = -Infinity;
  for (const item of items) {
    const itemScore = score(item);
    if (itemScore > bestScore) {
      best = item;
      bestScore = itemScore;
    }
  }
  return best;
}
