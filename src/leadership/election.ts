/**
 * Election of the one host that decides placement. The leader holds a key of the store under a lease;
 * the epoch, a counter that survives the lease, rises with each leader and fences orders to workers.
 * Every durable write of a leader is conditioned on its key, so that a deposed leader cannot write.
 *
 * A leader that cannot reach the store stays in office: nobody else can win an election without the
 * store, and if others do reach it, the successor's epoch makes workers refuse the old one.
 */
import { z } from 'zod';
import type { EventLog } from '../observability/index.js';
import type { Condition, StoreEntry, KeyValueStore } from '../records/index.js';
import { pause } from '../records/index.js';
import { deferToStronger, isWeak } from './strength.js';

const LEADER_KEY = 'leadership/leader';
const EPOCH_KEY = 'leadership/epoch';
/** Processors of the strongest host that a leader has seen, which outlives its term. */
const STRONGEST_KEY = 'leadership/strongest';
export const LEADERSHIP_PREFIX = 'leadership/';

/**
 * Lifetime of the leader's lease, where the store grants one so short; a silent leader is replaced after this. A new
 * leader on a host that has just started can be busy for half a second with reading all jobs.
 */
const LEASE_MS = 1200;
/** Several renewals in a lifetime, so that one lost answer does not cost the office. */
const RENEW_INTERVAL_MS = 250;
/** Above the 240 ms of a slow store; a lost answer must leave time for another renewal. */
const RENEW_TIMEOUT_MS = 400;
/** After a renewal that was turned away, so that the second comes soon. */
const RENEW_RETRY_MS = 50;
/** Longest wait of a candidate before it tries, so that candidates rarely compete. */
const CANDIDATE_DELAY_MS = 80;
/** How often a host reads the leader's key itself, in case its feed is silent. */
const CHECK_INTERVAL_MS = 1500;
const CALL_TIMEOUT_MS = 800;
/** Between two checks or renewals, however long the first took. */
const MIN_REST_MS = 20;
/** A renewal that fails sooner was turned away; a slow store or a lost answer takes longer. */
const TURNED_AWAY_MS = 200;
/** Renewals in a row that the store turns away before the hosts are asked to try for the office. */
const TURNED_AWAY_RENEWALS = 2;
/**
 * A suspected leader is replaced before its lease ends. This is safe while it lives, because its epoch is
 * fenced then; the two bounds keep hosts on both sides of a partition from replacing each other in turn.
 */
const MIN_TERM_BEFORE_REPLACEMENT_MS = 2000;
const REPLACEMENT_INTERVAL_MS = 10_000;
/** A host that gave the office up leads again after this if no other does. */
const YIELD_PAUSE_MS = 5000;

const leaderSchema = z.object({ host: z.string(), address: z.string(), epoch: z.number() });

export type Leader = z.infer<typeof leaderSchema>;

/** What a leader needs for orders and durable writes. */
export interface LeadershipTerm {
  readonly epoch: number;
  /** Holds as long as nobody else was elected. */
  readonly condition: Condition;
}

export interface ElectionOptions {
  readonly store: KeyValueStore;
  readonly host: string;
  /** Where peers reach this host. */
  readonly address: string;
  /** Shortest lease that the store grants, in milliseconds. */
  readonly minLeaseMs: number;
  /** What this host has, in cores; stronger hosts go first. */
  readonly processors: number;
  readonly events: EventLog;
  /** Whether this host may lead at the moment. */
  readonly eligible: () => boolean;
  readonly onElected: (office: LeadershipTerm) => void;
  /** The lease lapsed and was taken again without another leader in between. */
  readonly onReacquired: (office: LeadershipTerm) => void;
  readonly onLeadershipLost: (reason: string) => void;
  /** The store turns this leader away; others may reach it. */
  readonly onStoreRejection: () => void;
  readonly onLeaderChange: (leader: Leader | undefined) => void;
  readonly random?: () => number;
}

export interface Election {
  readonly term: LeadershipTerm | undefined;
  readonly leader: Leader | undefined;
  /** Monotonic milliseconds of the last confirmed renewal; undefined if this host does not lead. */
  readonly renewedAt: number | undefined;
  /** Takes over what the feed says of the leadership keys. */
  observe(entries: readonly StoreEntry[]): void;
  observeRemoval(key: string): void;
  start(): void;
  /** The leader's process seems to be gone, or the store turns it away. */
  suspectLeader(): void;
  /** The leader has seen a host with so many processors. */
  recordStrongestHost(processors: number): void;
  /** Called when a worker or a conditioned write shows that another host leads. */
  stepDown(reason: string): void;
  /** Gives the office up at once, for a planned stop. */
  resign(): Promise<void>;
  /** Gives the office to another host and does not try for it for a while. */
  yieldLeadership(reason: string): Promise<void>;
  stop(): void;
}

interface Term {
  office: LeadershipTerm;
  lease: number;
  renewedAt: number;
  /** Renewals in a row that failed at once. */
  turnedAway: number;
}

export function createElection(options: ElectionOptions): Election {
  const { store, host, address, events, random = Math.random } = options;
  let term: Term | undefined;
  let leader: Leader | undefined;
  let leaderRevision = 0;
  let leaderSince = 0;
  let replacedAt = -Infinity;
  let stopped = false;
  let campaigning = false;
  let yieldedUntil = -Infinity;
  let strongest = options.processors;
  /** A weak host waits once in each campaign. */
  let deferred = false;
  /** Ends the rest between two checks or renewals. */
  let wake: () => void = () => undefined;

  function noteLeader(next: Leader | undefined, revision: number) {
    if (revision < leaderRevision) return;
    leaderRevision = revision;
    if (next?.host === leader?.host && next?.epoch === leader?.epoch) return;
    leader = next;
    leaderSince = performance.now();
    events.info('leader-observed', { leader: next?.host, epoch: next?.epoch, revision });
    options.onLeaderChange(next);
    if (next !== undefined && next.host !== host) stepDown(`${next.host} leads`);
  }

  function stepDown(reason: string) {
    if (term === undefined) return;
    events.warn('leadership-lost', { epoch: term.office.epoch, reason });
    term = undefined;
    options.onLeadershipLost(reason);
  }

  /** Takes the office if the key is free. Returns whether this host leads afterwards. */
  async function campaign(replaced?: Leader): Promise<void> {
    if (campaigning || stopped || !options.eligible()) return;
    if (performance.now() < yieldedUntil) return;
    campaigning = true;
    deferred = false;
    try {
      await tryToLead(replaced);
    } finally {
      campaigning = false;
    }
  }

  async function tryToLead(replaced: Leader | undefined): Promise<void> {
    const listing = await store.list(LEADERSHIP_PREFIX, { timeoutMs: CALL_TIMEOUT_MS });
    if (listing.isErr()) return;
    const present = listing.value.entries.find(({ key }) => key === LEADER_KEY);
    const epochEntry = listing.value.entries.find(({ key }) => key === EPOCH_KEY);
    const lastEpoch = Number(epochEntry?.value ?? 0);
    const strongestEntry = listing.value.entries.find(({ key }) => key === STRONGEST_KEY);
    const recorded = Number(strongestEntry?.value ?? 0);
    strongest = Math.max(strongest, recorded);
    if (present !== undefined) {
      const found = parseLeader(present.value);
      noteLeader(found, present.revision);
      // The answer to an own earlier attempt may have been lost.
      const isOwn = found?.host === host && found.address === address && term === undefined;
      const isReplaced = replaced !== undefined && found?.epoch === replaced.epoch;
      if (!isOwn && !isReplaced) return;
    }
    if (term === undefined && !deferred) {
      deferred = true;
      await deferToStronger(options.processors, strongest);
      if (isWeak(options.processors, strongest)) {
        await tryToLead(replaced);
        return;
      }
    }
    // A host that restarted under its name must not continue the epoch of its former process.
    const continues = term?.office.epoch === lastEpoch;
    if (term !== undefined && !continues) stepDown('another epoch was begun');
    const epoch = continues ? lastEpoch : lastEpoch + 1;
    const grant = await store.grantLease(Math.max(LEASE_MS, options.minLeaseMs));
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
    const office = { epoch, condition: { key: LEADER_KEY, revision: outcome.value.revision } };
    term = { office, lease: grant.value, renewedAt: sentAt, turnedAway: 0 };
    // The loop may rest for longer than the lease lasts.
    wake();
    noteLeader({ host, address, epoch }, outcome.value.revision);
    events.info(continues ? 'leadership-confirmed' : 'leadership-won', {
      epoch,
      revision: outcome.value.revision,
    });
    if (continues) options.onReacquired(office);
    else options.onElected(office);
  }

  function suspectLeader() {
    const now = performance.now();
    const suspected = leader;
    if (suspected === undefined || suspected.host === host || term !== undefined) return;
    if (now - leaderSince < MIN_TERM_BEFORE_REPLACEMENT_MS) return;
    if (now - replacedAt < REPLACEMENT_INTERVAL_MS) return;
    replacedAt = now;
    events.warn('leader-suspected', { leader: suspected.host, epoch: suspected.epoch });
    void pause(random() * CANDIDATE_DELAY_MS).then(() => campaign(suspected));
  }

  async function renew(current: Term): Promise<void> {
    const sentAt = performance.now();
    const renewal = await store.renewLease(current.lease, { timeoutMs: RENEW_TIMEOUT_MS });
    if (term !== current) return;
    if (renewal.isOk()) {
      current.renewedAt = sentAt;
      current.turnedAway = 0;
      return;
    }
    if (renewal.error.kind !== 'absent') {
      noteFailedRenewal(current, performance.now() - sentAt, renewal.error.detail);
      return;
    }
    events.warn('leader-lease-lapsed', { epoch: current.office.epoch });
    await campaign();
  }

  /** Hosts that reach the store need not wait for the end of the lease. */
  function noteFailedRenewal(current: Term, tookMs: number, failure: string) {
    if (tookMs > TURNED_AWAY_MS) return;
    current.turnedAway += 1;
    if (current.turnedAway !== TURNED_AWAY_RENEWALS) return;
    events.warn('leader-turned-away', { epoch: current.office.epoch, failure });
    options.onStoreRejection();
  }

  function recordStrongestHost(processors: number) {
    if (processors <= strongest || term === undefined) return;
    strongest = processors;
    void store
      .transact({
        conditions: [term.office.condition],
        writes: [{ key: STRONGEST_KEY, value: String(processors) }],
      })
      .then((outcome) => {
        if (outcome.isErr()) {
          events.warn('strongest-host-not-recorded', { failure: outcome.error.detail });
        }
      });
  }

  async function leaveOffice(event: string, reason: string): Promise<void> {
    const current = term;
    if (current === undefined) return;
    events.info(event, { epoch: current.office.epoch, reason });
    term = undefined;
    options.onLeadershipLost(reason);
    await store.endLease(current.lease);
  }

  async function check(): Promise<void> {
    const found = await store.get(LEADER_KEY, { timeoutMs: CALL_TIMEOUT_MS });
    if (found.isErr()) return;
    if (found.value !== undefined) {
      noteLeader(parseLeader(found.value.value), found.value.revision);
      if (leader?.host === host && term === undefined) await campaign();
      return;
    }
    await campaign();
  }

  function chooseInterval(): number {
    if (term === undefined) return CHECK_INTERVAL_MS;
    const isFirst = term.turnedAway > 0 && term.turnedAway < TURNED_AWAY_RENEWALS;
    return isFirst ? RENEW_RETRY_MS : RENEW_INTERVAL_MS;
  }

  async function run() {
    while (!stopped) {
      const sentAt = performance.now();
      if (term === undefined) await check();
      else await renew(term);
      const interval = chooseInterval();
      await Promise.race([
        pause(Math.max(MIN_REST_MS, interval - (performance.now() - sentAt))),
        new Promise<void>((resolve) => {
          wake = resolve;
        }),
      ]);
    }
  }

  return {
    get term() {
      return term?.office;
    },
    get leader() {
      return leader;
    },
    get renewedAt() {
      return term?.renewedAt;
    },
    observe: (entries) => {
      const entry = entries.find(({ key }) => key === LEADER_KEY);
      if (entry !== undefined) noteLeader(parseLeader(entry.value), entry.revision);
    },
    observeRemoval: (key) => {
      if (key !== LEADER_KEY || stopped) return;
      // A leader whose key lapsed keeps its state and gets the first chance.
      const delayMs = term === undefined ? random() * CANDIDATE_DELAY_MS : 0;
      void pause(delayMs).then(() => campaign());
    },
    start: () => {
      void run();
    },
    suspectLeader,
    recordStrongestHost,
    stepDown,
    resign: async () => {
      stopped = true;
      await leaveOffice('leadership-resigned', 'planned stop');
    },
    yieldLeadership: async (reason) => {
      yieldedUntil = performance.now() + YIELD_PAUSE_MS;
      await leaveOffice('leadership-yielded', reason);
    },
    stop: () => {
      stopped = true;
    },
  };
}

function parseLeader(text: string): Leader | undefined {
  try {
    const parsed = leaderSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
