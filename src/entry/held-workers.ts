/**
 * The workers that this host holds. A worker is held only after its epoch was raised, so that a
 * paused former holder can start nothing, and after the tasks found on it were charged here.
 */
import type { Claim } from '../claims/index.js';
import type { Log } from '../log/index.js';
import type { Worker } from '../model/index.js';
import {
  createLedger,
  createWorkerClient,
  type Ledger,
  type RunningTask,
  type WorkerClient,
} from '../workers/index.js';

/** Added to a lease before its tasks count as ended, to cover delays of the network and timers. */
const LEASE_MARGIN_MS = 2000;

/** A worker that this host holds. */
export interface HeldWorker {
  readonly worker: Worker;
  readonly client: WorkerClient;
  readonly ledger: Ledger;
  readonly epoch: number;
  /** Boot id of the worker when it last answered. */
  readonly bootId: string;
  /** Whether the worker itself says that it is leaving. */
  readonly leaving: boolean;
  /** Whether the last report arrived; leases are renewed only then. */
  readonly reachable: boolean;
  /** Time of the last attempt to renew leases or to start a task. */
  readonly lastRenewalAt: number;
}

export interface HeldWorkers {
  /** Takes over a claimed worker. Rejects if the worker cannot be fenced or its tasks not charged. */
  takeOver(claim: Claim): Promise<void>;
  remove(worker: string): void;
  get(worker: string): HeldWorker | undefined;
  all(): readonly HeldWorker[];
  /** Ledgers of all held workers; one that takes no new tasks still has its running ones. */
  ledgers(): readonly Ledger[];
  /** Whether the worker may take new tasks. */
  isUsable(worker: string): boolean;
  /** Whether any worker may take new tasks. */
  hasUsable(): boolean;
  /** Gives a worker that refused a start no new tasks before its next report, which says why. */
  recheck(worker: string): void;
  /** Reads the report of every worker and renews the leases of its tasks. */
  refresh(): Promise<void>;
  /** Whether every lease on the worker must have expired. */
  leasesExpired(worker: string): boolean;
  recordStart(worker: string): void;
  close(): Promise<void>;
}

interface HoldingsOptions {
  readonly findWorker: (id: string) => Worker | undefined;
  /** Charges tasks of former owners to this host's allotments. */
  readonly adopt: (claim: Claim, tasks: readonly RunningTask[]) => Promise<readonly RunningTask[]>;
  /** Called with the tasks that were found running, to follow them to their end. */
  readonly onAdopted: (held: HeldWorker, tasks: readonly RunningTask[]) => void;
  /** Called with tasks that ended because their worker restarted. */
  readonly onRestart: (held: HeldWorker, tasks: readonly RunningTask[]) => void;
  readonly onChange: () => void;
  readonly owner: string;
  readonly leaseMs: number;
  readonly now: () => number;
  readonly log: Log;
}

type MutableHeld = { -readonly [K in keyof HeldWorker]: HeldWorker[K] };

export function createHeldWorkers(options: HoldingsOptions): HeldWorkers {
  const { leaseMs, now, log } = options;
  const held = new Map<string, MutableHeld>();

  async function gain(claim: Claim): Promise<void> {
    const id = workerIdOf(claim);
    const worker = options.findWorker(id);
    if (worker === undefined) throw new Error(`Worker ${id} is not in the host list.`);
    const client = createWorkerClient({ worker });
    const snapshot = await client.raiseEpoch(claim.epoch, options.owner);
    if (snapshot.isErr()) {
      await client.close();
      throw new Error(`Worker ${id} did not take epoch: ${snapshot.error.detail}`);
    }
    const { running, bootId } = snapshot.value;
    const tasks = await options.adopt(claim, running);
    const ledger = createLedger({ worker });
    ledger.adopt(tasks);
    const entry: MutableHeld = {
      worker,
      client,
      ledger,
      epoch: claim.epoch,
      bootId,
      leaving: false,
      reachable: true,
      lastRenewalAt: now(),
    };
    void held.get(id)?.client.drain();
    held.set(id, entry);
    log.info('Holds a worker.', { worker: id, epoch: claim.epoch, running: running.length });
    options.onAdopted(entry, tasks);
    options.onChange();
  }

  function lose(id: string): void {
    const entry = held.get(id);
    if (entry === undefined) return;
    held.delete(id);
    log.info('No longer holds a worker.', { worker: id });
    options.onChange();
    // Answers of tasks that run still arrive here; the worker refuses starts under the old epoch.
    void entry.client.drain();
  }

  async function refreshOne(entry: MutableHeld): Promise<void> {
    const report = await entry.client.report();
    const wasUsable = isUsable(entry, options.findWorker);
    entry.reachable = report.isOk();
    if (report.isOk()) {
      if (report.value.bootId !== entry.bootId) await handleRestart(entry, report.value.bootId);
      entry.leaving = report.value.leaving;
      entry.ledger.applyReport(report.value);
      entry.lastRenewalAt = now();
      // An idle worker has no lease to renew, and most calls to it would be for nothing.
      if (entry.ledger.running().length > 0) await entry.client.renew(entry.epoch, leaseMs);
    }
    if (wasUsable !== isUsable(entry, options.findWorker)) options.onChange();
  }

  /**
   * A restarted worker runs nothing, and it has forgotten the epoch, which is raised again. The boot
   * id is taken over only then, so that a failed call is repeated at the next refresh.
   */
  async function handleRestart(entry: MutableHeld, bootId: string): Promise<void> {
    const ended = entry.ledger.running();
    const raised = await entry.client.raiseEpoch(entry.epoch, options.owner);
    if (raised.isErr()) {
      log.warn('A restarted worker does not take the epoch yet.', { worker: entry.worker.id });
      return;
    }
    log.warn('A worker restarted.', { worker: entry.worker.id });
    entry.bootId = bootId;
    options.onRestart(entry, ended);
  }

  return {
    takeOver: gain,
    remove: lose,
    get: (id) => held.get(id),
    all: () => [...held.values()],
    ledgers: () => [...held.values()].map(({ ledger }) => ledger),
    isUsable: (id) => {
      const entry = held.get(id);
      return entry !== undefined && isUsable(entry, options.findWorker);
    },
    hasUsable: () => [...held.values()].some((entry) => isUsable(entry, options.findWorker)),
    recheck: (id) => {
      const entry = held.get(id);
      if (!entry?.reachable) return;
      entry.reachable = false;
      options.onChange();
      void refreshOne(entry);
    },
    refresh: async () => {
      await Promise.all([...held.values()].map(refreshOne));
    },
    leasesExpired: (id) => {
      const entry = held.get(id);
      return entry !== undefined && now() > entry.lastRenewalAt + leaseMs + LEASE_MARGIN_MS;
    },
    recordStart: (id) => {
      const entry = held.get(id);
      if (entry !== undefined) entry.lastRenewalAt = now();
    },
    close: async () => {
      await Promise.all([...held.values()].map(({ client }) => client.close()));
      held.clear();
    },
  };
}

/** The subject of a claim on a worker. */
export function workerSubject(worker: string): string {
  return `worker:${worker}`;
}

export function workerIdOf(claim: Claim): string {
  return claim.subject.slice(workerSubject('').length);
}

export function isWorkerClaim(claim: Claim): boolean {
  return claim.subject.startsWith(workerSubject(''));
}

function isUsable(entry: HeldWorker, findWorker: (id: string) => Worker | undefined): boolean {
  const listed = findWorker(entry.worker.id);
  return entry.reachable && !entry.leaving && listed?.state === 'live';
}
