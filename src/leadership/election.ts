/**
 * Election of the one host that decides placement. The leader holds a key of the store under a lease. The
 * epoch, a counter that outlives the lease, rises with each new leader by the number of fencing tokens that its orders
 * to workers may use. Every durable write of a leader is conditional on its key, so that a former leader cannot write.
 *
 * A leader that cannot reach the store continues to lead: no other host can win an election without the
 * store, and if others do reach it, workers refuse the old leader because the successor's epoch is higher.
 */
import { createFaultContainment } from '../observability/index.js';
import type { EventLog, Meters } from '../observability/index.js';
import type { Condition, StoreEntry, KeyValueStore } from '../records/index.js';
import { pause } from '../records/index.js';
import {
  decodeEpoch,
  decodeLeader,
  decodeProcessors,
  TOKENS_PER_TERM,
} from './leadership-records.js';
import type { Leader } from './leadership-records.js';
import { createStrongestHostRecord, deferToStronger, isWeak, STRONGEST_KEY } from './strength.js';
import type { StrongestHostRecord } from './strength.js';

const LEADER_KEY = 'leadership/leader';
const EPOCH_KEY = 'leadership/epoch';
export const LEADERSHIP_PREFIX = 'leadership/';

/**
 * Lifetime of the leader's lease, unless the store's minimum is longer; a silent leader is replaced after this time.
 * A new leader on a host that has just started can be busy for half a second with reading all jobs.
 */
export const LEADER_LEASE_MS = 1200;
/** Allows several renewals in a lease, so that one lost response does not cost the leadership. */
const RENEW_INTERVAL_MS = 250;
/** Above the 240 ms of a slow store; after a lost response there must be time for another renewal. */
const RENEW_TIMEOUT_MS = 400;
/** Interval after a first rejected renewal, so that the second attempt follows soon. */
const RENEW_RETRY_MS = 50;
/** Upper bound of the random delay before a candidacy, so that candidates rarely compete. */
const CANDIDATE_DELAY_MS = 80;
/** Interval at which a host reads the leader's key itself, in case its watch delivers nothing. */
const CHECK_INTERVAL_MS = 1500;
const CALL_TIMEOUT_MS = 800;
/** Shortest pause between two checks or renewals, however long the first took. */
const MIN_PAUSE_MS = 20;
/** A renewal that fails within this time was rejected; a slow store or a lost response takes longer. */
const MAX_REJECTION_MS = 200;
/** Number of rejected renewals in a row after which the other hosts are asked to start an election. */
const MAX_REJECTED_RENEWALS = 2;
/**
 * A suspected leader is replaced before its lease ends. This is safe even if it still runs, because its epoch is
 * fenced off. The two bounds keep hosts on both sides of a partition from replacing each other in turn.
 */
const MIN_TERM_BEFORE_REPLACEMENT_MS = 2000;
const REPLACEMENT_INTERVAL_MS = 10_000;
/** Time before a host that yielded the leadership stands for election again. */
const YIELD_PAUSE_MS = 5000;

/** Epoch and condition for durable writes of the current term. */
export interface LeadershipTerm {
  /** The last of the term's fencing tokens for calls to workers. */
  readonly epoch: number;
  /** Holds until another host is elected. */
  readonly condition: Condition;
}

export interface ElectionOptions {
  readonly store: KeyValueStore;
  readonly host: string;
  /** Address at which peers reach this host. */
  readonly address: string;
  /** Shortest lease that the store grants, in milliseconds. */
  readonly minLeaseMs: number;
  /** Processing capacity of this host in cores; stronger hosts have precedence. */
  readonly processors: number;
  readonly events: EventLog;
  readonly meters?: Meters;
  /** Whether this host may currently stand for election. */
  readonly eligible: () => boolean;
  readonly onElected: (term: LeadershipTerm) => void;
  /** Called when the lease expired and this host took the leadership again, with no other leader in between. */
  readonly onReacquired: (term: LeadershipTerm) => void;
  /**
   * Called when a term ends. `isCutOff`: another host has told of the successor before the store did, so the successor
   * may not reach what this host reaches.
   */
  readonly onLeadershipLost: (reason: string, isCutOff: boolean) => void;
  /** Called when the store rejects renewals of this leader; other hosts may still reach the store. */
  readonly onStoreRejection: () => void;
  readonly onLeaderChange: (leader: Leader | undefined) => void;
  readonly random?: () => number;
}

export interface Election {
  readonly term: LeadershipTerm | undefined;
  readonly leader: Leader | undefined;
  /** Monotonic milliseconds of the last confirmed renewal; undefined if this host does not lead. */
  readonly renewedAt: number | undefined;
  /** Applies leadership keys that the watch delivered. */
  observe(entries: readonly StoreEntry[]): void;
  observeRemoval(key: string): void;
  start(): void;
  /** Applies a leader that another host names, which this host may be unable to read from the store. */
  observeReported(leader: Leader): void;
  /** Called when the leader's process seems to be gone or the store rejects its renewals. */
  suspectLeader(): void;
  /** Records the processors of a connected host in the store if it is the strongest so far. */
  recordStrongestHost(processors: number): void;
  /** Ends the term; called when a worker or a conditional write shows that another host leads. */
  stepDown(reason: string): void;
  /** Gives up the leadership at once and stops the election, for a planned stop. */
  resign(): Promise<void>;
  /** Gives up the leadership and does not stand for election for `YIELD_PAUSE_MS`. */
  yieldLeadership(reason: string): Promise<void>;
  stop(): void;
}

interface HeldLeadership {
  term: LeadershipTerm;
  readonly strongestHost: StrongestHostRecord;
  lease: number;
  renewedAt: number;
  /** Number of renewals in a row that the store rejected. */
  rejectedRenewals: number;
}

export function createElection(options: ElectionOptions): Election {
  const { store, host, address, events, random = Math.random } = options;
  const faults = createFaultContainment({ events, meters: options.meters });
  let held: HeldLeadership | undefined;
  let leader: Leader | undefined;
  let leaderRevision = 0;
  let leaderSince = 0;
  let replacedAt = -Infinity;
  let stopped = false;
  let campaigning = false;
  let yieldedUntil = -Infinity;
  let strongest = options.processors;
  /** Whether this host has given stronger hosts precedence; a weak host does so once per candidacy. */
  let deferred = false;
  /** Ends the pause between two checks or renewals. */
  let wake: () => void = () => undefined;

  function updateLeader(next: Leader | undefined, revision: number, isReported = false) {
    if (revision < leaderRevision) return;
    leaderRevision = revision;
    if (next?.host === leader?.host && next?.epoch === leader?.epoch) return;
    leader = next;
    leaderSince = performance.now();
    events.info('leader-observed', {
      leader: next?.host,
      epoch: next?.epoch,
      revision,
      isReported,
    });
    options.onLeaderChange(next);
    if (next !== undefined && next.host !== host) stepDown(`${next.host} leads`, isReported);
  }

  function stepDown(reason: string, isCutOff = false) {
    if (held === undefined) return;
    events.warn('leadership-lost', { epoch: held.term.epoch, reason, isCutOff });
    held = undefined;
    options.onLeadershipLost(reason, isCutOff);
  }

  function observeReported(reported: Leader) {
    // Hosts learn of elections at different times, so one may name a leader that has been replaced.
    if (reported.epoch <= (leader?.epoch ?? 0)) return;
    updateLeader(reported, leaderRevision, true);
  }

  /** Takes the leadership if the leader's key is free or held by `replaced`. */
  async function campaign(replaced?: Leader): Promise<void> {
    if (campaigning || stopped || !options.eligible()) return;
    if (performance.now() < yieldedUntil) return;
    campaigning = true;
    deferred = false;
    try {
      await tryToAcquire(replaced);
    } finally {
      campaigning = false;
    }
  }

  async function tryToAcquire(replaced: Leader | undefined): Promise<void> {
    const listing = await store.list(LEADERSHIP_PREFIX, { timeoutMs: CALL_TIMEOUT_MS });
    if (listing.isErr()) return;
    const present = listing.value.entries.find(({ key }) => key === LEADER_KEY);
    const epochEntry = listing.value.entries.find(({ key }) => key === EPOCH_KEY);
    const lastEpoch = decodeEpoch(epochEntry?.value, Date.now());
    const strongestEntry = listing.value.entries.find(({ key }) => key === STRONGEST_KEY);
    const recorded = decodeProcessors(strongestEntry?.value);
    strongest = Math.max(strongest, recorded);
    if (present !== undefined) {
      const found = decodeLeader(present.value);
      updateLeader(found, present.revision);
      // An earlier attempt of this host may have succeeded with its response lost.
      const isOwn = found?.host === host && found.address === address && held === undefined;
      const isReplaced = replaced !== undefined && found?.epoch === replaced.epoch;
      // A record that names no leader would otherwise prevent every election.
      if (found !== undefined && !isOwn && !isReplaced) return;
    }
    if (held === undefined && !deferred) {
      deferred = true;
      await deferToStronger(options.processors, strongest);
      if (isWeak(options.processors, strongest)) {
        await tryToAcquire(replaced);
        return;
      }
    }
    // A host that restarted under the same name must not continue the epoch of its former process.
    const continues = held?.term.epoch === lastEpoch;
    if (held !== undefined && !continues) stepDown('another epoch has started');
    const epoch = continues ? lastEpoch : lastEpoch + TOKENS_PER_TERM;
    const grant = await store.grantLease(Math.max(LEADER_LEASE_MS, options.minLeaseMs));
    if (grant.isErr()) return;
    const sentAt = performance.now();
    const outcome = await store.transact(
      {
        conditions: [
          { key: LEADER_KEY, revision: present?.revision ?? 0 },
          { key: EPOCH_KEY, revision: epochEntry?.revision ?? 0 },
        ],
        writes: [
          {
            key: LEADER_KEY,
            value: JSON.stringify({ host, address, epoch }),
            lease: grant.value,
          },
          { key: EPOCH_KEY, value: String(epoch) },
          ...(strongest > recorded ? [{ key: STRONGEST_KEY, value: String(strongest) }] : []),
        ],
      },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    if (outcome.isErr() || outcome.value.kind !== 'committed') {
      void store.endLease(grant.value);
      events.info('election-not-won', {
        epoch,
        outcome: outcome.isErr() ? outcome.error.kind : outcome.value.kind,
      });
      return;
    }
    const term = { epoch, condition: { key: LEADER_KEY, revision: outcome.value.revision } };
    const strongestHost = createStrongestHostRecord({
      store,
      condition: () => term.condition,
      saved: strongest,
      events,
    });
    held = {
      term,
      strongestHost,
      lease: grant.value,
      renewedAt: sentAt,
      rejectedRenewals: 0,
    };
    // The loop may be in a pause that is longer than the lease.
    wake();
    updateLeader({ host, address, epoch }, outcome.value.revision);
    events.info(continues ? 'leadership-confirmed' : 'leadership-won', {
      epoch,
      revision: outcome.value.revision,
    });
    if (continues) options.onReacquired(term);
    else options.onElected(term);
  }

  function suspectLeader() {
    const now = performance.now();
    const suspected = leader;
    if (suspected === undefined || suspected.host === host || held !== undefined) return;
    if (now - leaderSince < MIN_TERM_BEFORE_REPLACEMENT_MS) return;
    if (now - replacedAt < REPLACEMENT_INTERVAL_MS) return;
    replacedAt = now;
    events.warn('leader-suspected', { leader: suspected.host, epoch: suspected.epoch });
    void pause(random() * CANDIDATE_DELAY_MS).then(() => campaign(suspected));
  }

  async function renew(current: HeldLeadership): Promise<void> {
    const sentAt = performance.now();
    const renewal = await store.renewLease(current.lease, { timeoutMs: RENEW_TIMEOUT_MS });
    if (held !== current) return;
    if (renewal.isOk()) {
      current.renewedAt = sentAt;
      current.rejectedRenewals = 0;
      void current.strongestHost.save(strongest);
      return;
    }
    if (renewal.error.kind !== 'absent') {
      recordFailedRenewal(current, performance.now() - sentAt, renewal.error.detail);
      return;
    }
    events.warn('leader-lease-lapsed', { epoch: current.term.epoch });
    await campaign();
  }

  /** Lets hosts that reach the store take over without waiting for the end of the lease. */
  function recordFailedRenewal(current: HeldLeadership, tookMs: number, failure: string) {
    if (tookMs > MAX_REJECTION_MS) return;
    current.rejectedRenewals += 1;
    if (current.rejectedRenewals !== MAX_REJECTED_RENEWALS) return;
    events.warn('leader-turned-away', { epoch: current.term.epoch, failure });
    options.onStoreRejection();
  }

  function recordStrongestHost(processors: number) {
    if (processors <= strongest || held === undefined) return;
    strongest = processors;
    void held.strongestHost.save(strongest);
  }

  async function releaseLeadership(event: string, reason: string): Promise<void> {
    const current = held;
    if (current === undefined) return;
    events.info(event, { epoch: current.term.epoch, reason });
    held = undefined;
    options.onLeadershipLost(reason, false);
    await store.endLease(current.lease);
  }

  async function checkLeader(): Promise<void> {
    const found = await store.get(LEADER_KEY, { timeoutMs: CALL_TIMEOUT_MS });
    if (found.isErr()) return;
    if (found.value !== undefined) {
      const named = decodeLeader(found.value.value);
      updateLeader(named, found.value.revision);
      if (named === undefined || (leader?.host === host && held === undefined)) await campaign();
      return;
    }
    await campaign();
  }

  function chooseInterval(): number {
    if (held === undefined) return CHECK_INTERVAL_MS;
    const isFirst = held.rejectedRenewals > 0 && held.rejectedRenewals < MAX_REJECTED_RENEWALS;
    return isFirst ? RENEW_RETRY_MS : RENEW_INTERVAL_MS;
  }

  async function run() {
    while (!stopped) {
      const sentAt = performance.now();
      if (held === undefined) await checkLeader();
      else await renew(held);
      const interval = chooseInterval();
      await Promise.race([
        pause(Math.max(MIN_PAUSE_MS, interval - (performance.now() - sentAt))),
        new Promise<void>((resolve) => {
          wake = resolve;
        }),
      ]);
    }
  }

  return {
    get term() {
      return held?.term;
    },
    get leader() {
      return leader;
    },
    get renewedAt() {
      return held?.renewedAt;
    },
    observe: (entries) => {
      const entry = entries.find(({ key }) => key === LEADER_KEY);
      if (entry !== undefined) updateLeader(decodeLeader(entry.value), entry.revision);
    },
    observeRemoval: (key) => {
      if (key !== LEADER_KEY || stopped) return;
      // A leader whose key expired still has its state, so it tries first, without a delay.
      const delayMs = held === undefined ? random() * CANDIDATE_DELAY_MS : 0;
      void pause(delayMs).then(() => campaign());
    },
    start: () => {
      faults.keepRunning('election', run);
    },
    observeReported,
    suspectLeader,
    recordStrongestHost,
    stepDown,
    resign: async () => {
      stopped = true;
      await releaseLeadership('leadership-resigned', 'planned stop');
    },
    yieldLeadership: async (reason) => {
      yieldedUntil = performance.now() + YIELD_PAUSE_MS;
      await releaseLeadership('leadership-yielded', reason);
    },
    stop: () => {
      stopped = true;
    },
  };
}
