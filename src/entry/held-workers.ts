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
  /** Takes over a claimed worker. Rejects if the worker cannot be fenced or its tasks cannot be charged. */
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
  /** Starts nothing on a worker that refused a start until its next report, which says why; requests the report. */
  recheck(worker: string): void;
  /** Reads the report of every worker and renews the leases of its tasks. */
  refresh(): Promise<void>;
  /** Whether all leases on the worker have certainly expired. */
  leasesExpired(worker: string): boolean;
  recordStart(worker: string): void;
  close(): Promise<void>;
}

interface HeldWorkersOptions {
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

type MutableHeldWorker = { -readonly [K in keyof HeldWorker]: HeldWorker[K] };

export function createHeldWorkers(options: HeldWorkersOptions): HeldWorkers {
  const { leaseMs, now, log } = options;
  const workersById = new Map<string, MutableHeldWorker>();

  async function takeOver(claim: Claim): Promise<void> {
    const id = workerIdOf(claim);
    const worker = options.findWorker(id);
    if (worker === undefined) throw new Error(`Worker ${id} is not in the host list.`);
    const client = createWorkerClient({ worker });
    const snapshot = await client.raiseEpoch(claim.epoch, options.owner);
    if (snapshot.isErr()) {
      await client.close();
      throw new Error(`Worker ${id} did not accept the epoch: ${snapshot.error.detail}`);
    }
    const { running, bootId } = snapshot.value;
    const tasks = await options.adopt(claim, running);
    const ledger = createLedger({ worker });
    ledger.adopt(tasks);
    const held: MutableHeldWorker = {
      worker,
      client,
      ledger,
      epoch: claim.epoch,
      bootId,
      leaving: false,
      reachable: true,
      lastRenewalAt: now(),
    };
    void workersById.get(id)?.client.drain();
    workersById.set(id, held);
    log.info('Took over a worker.', { worker: id, epoch: claim.epoch, running: running.length });
    options.onAdopted(held, tasks);
    options.onChange();
  }

  function remove(id: string): void {
    const held = workersById.get(id);
    if (held === undefined) return;
    workersById.delete(id);
    log.info('No longer holds a worker.', { worker: id });
    options.onChange();
    // Running tasks may still answer through this client; the worker refuses starts with the old epoch.
    void held.client.drain();
  }

  async function refreshOne(held: MutableHeldWorker): Promise<void> {
    const report = await held.client.report();
    const wasUsable = isUsable(held, options.findWorker);
    held.reachable = report.isOk();
    if (report.isOk()) {
      if (report.value.bootId !== held.bootId) await handleRestart(held, report.value.bootId);
      held.leaving = report.value.leaving;
      held.ledger.applyReport(report.value);
      held.lastRenewalAt = now();
      // An idle worker has no lease to renew, so most of these calls would have no effect.
      if (held.ledger.running().length > 0) await held.client.renew(held.epoch, leaseMs);
    }
    if (wasUsable !== isUsable(held, options.findWorker)) options.onChange();
  }

  /**
   * A restarted worker runs nothing and has forgotten the epoch, which is raised again. The new boot id is
   * stored only after that, so that a failed call is repeated at the next refresh.
   */
  async function handleRestart(held: MutableHeldWorker, bootId: string): Promise<void> {
    const ended = held.ledger.running();
    const raised = await held.client.raiseEpoch(held.epoch, options.owner);
    if (raised.isErr()) {
      log.warn('A restarted worker did not accept the epoch; the next refresh repeats it.', {
        worker: held.worker.id,
      });
      return;
    }
    log.warn('A worker restarted.', { worker: held.worker.id });
    held.bootId = bootId;
    options.onRestart(held, ended);
  }

  return {
    takeOver,
    remove,
    get: (id) => workersById.get(id),
    all: () => [...workersById.values()],
    ledgers: () => [...workersById.values()].map(({ ledger }) => ledger),
    isUsable: (id) => {
      const held = workersById.get(id);
      return held !== undefined && isUsable(held, options.findWorker);
    },
    hasUsable: () => [...workersById.values()].some((held) => isUsable(held, options.findWorker)),
    recheck: (id) => {
      const held = workersById.get(id);
      if (!held?.reachable) return;
      held.reachable = false;
      options.onChange();
      void refreshOne(held);
    },
    refresh: async () => {
      await Promise.all([...workersById.values()].map(refreshOne));
    },
    leasesExpired: (id) => {
      const held = workersById.get(id);
      return held !== undefined && now() > held.lastRenewalAt + leaseMs + LEASE_MARGIN_MS;
    },
    recordStart: (id) => {
      const held = workersById.get(id);
      if (held !== undefined) held.lastRenewalAt = now();
    },
    close: async () => {
      await Promise.all([...workersById.values()].map(({ client }) => client.close()));
      workersById.clear();
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

function isUsable(held: HeldWorker, findWorker: (id: string) => Worker | undefined): boolean {
  const listed = findWorker(held.worker.id);
  return held.reachable && !held.leaving && listed?.state === 'live';
}
