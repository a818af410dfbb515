/**
 * The ledger of one worker tracks which resources its running tasks are charged for and what is
 * free. A task is charged the larger of its declared size and its observed usage plus a margin,
 * because declared sizes are unreliable and reports arrive late.
 */
import {
  addResources,
  fitsWithin,
  maxResources,
  NO_RESOURCES,
  subtractResources,
  type Resources,
  type TaskId,
  type Worker,
} from '../model/index.js';
import type { RunningTask, WorkerReport } from './task.js';

/** Fraction added to the observed usage to cover its increase between two reports. */
const DEFAULT_USAGE_MARGIN = 0.1;

/** The running tasks of one team on one worker and the resources they are charged for. */
export interface TeamCharge {
  readonly running: number;
  readonly used: Resources;
}

/** Called on every change of a charge. `tasks` is the change in the number of running tasks. */
export type LedgerListener = (team: string, change: Resources, tasks: number) => void;

/** Tracks the charged and the free resources of one worker. */
export interface Ledger {
  readonly worker: Worker;
  /**
   * Returns the free resources. A resource is negative if its observed usage exceeds the capacity.
   */
  free(): Resources;
  /** Returns how many more tasks may start, which is 0 on a leaving worker. */
  freeSlots(): number;
  /**
   * Charges a new task. Returns false and charges nothing if it does not fit or is already charged.
   */
  charge(task: RunningTask): boolean;
  release(task: TaskId): void;
  /**
   * Charges tasks that were found on the worker after a takeover, whether they fit or not. Their
   * `chargedTo` must name the owner whose allotment holds the charge, which is the former holder.
   */
  adopt(tasks: readonly RunningTask[]): void;
  /** Updates charges from a report. Tasks that it does not list keep their charge. */
  applyReport(report: WorkerReport): void;
  task(id: TaskId): RunningTask | undefined;
  running(): readonly RunningTask[];
  /** Returns the charges by team. */
  teams(): ReadonlyMap<string, TeamCharge>;
  /** Sets the only listener, or removes it. */
  onChange(listener: LedgerListener | undefined): void;
}

interface ChargedTask {
  readonly task: RunningTask;
  charge: Resources;
}

export function createLedger(options: { worker: Worker; usageMargin?: number }): Ledger {
  const { worker, usageMargin = DEFAULT_USAGE_MARGIN } = options;
  const entries = new Map<TaskId, ChargedTask>();
  // Every task occupies one slot and one connection while it runs.
  const maxTasks = Math.min(worker.slots, worker.connections);
  let free = worker.capacity;
  let leaving = worker.state === 'leaving';
  let listener: LedgerListener | undefined;

  const freeSlots = () => (leaving ? 0 : Math.max(0, maxTasks - entries.size));

  function add(task: RunningTask) {
    entries.set(task.id, { task, charge: task.size });
    free = subtractResources(free, task.size);
    listener?.(task.team, task.size, 1);
  }

  /** Sums up all charges again, so that rounding errors do not accumulate. */
  function recompute() {
    let used = NO_RESOURCES;
    for (const { charge } of entries.values()) used = addResources(used, charge);
    free = subtractResources(worker.capacity, used);
  }

  function charge(task: RunningTask): boolean {
    if (entries.has(task.id) || freeSlots() === 0 || !fitsWithin(task.size, free)) return false;
    add(task);
    return true;
  }

  function release(id: TaskId) {
    const entry = entries.get(id);
    if (!entry) return;
    entries.delete(id);
    free = entries.size === 0 ? worker.capacity : addResources(free, entry.charge);
    listener?.(entry.task.team, subtractResources(NO_RESOURCES, entry.charge), -1);
  }

  function observe(entry: ChargedTask, usage: Resources) {
    const next = maxResources(entry.task.size, withMargin(usage, usageMargin));
    const change = subtractResources(next, entry.charge);
    entry.charge = next;
    listener?.(entry.task.team, change, 0);
  }

  function applyReport(report: WorkerReport) {
    leaving = report.leaving || worker.state === 'leaving';
    for (const [id, usage] of report.usage) {
      const entry = entries.get(id);
      if (entry) observe(entry, usage);
    }
    recompute();
    // Notifies the listener of a change of `leaving` and of the recomputed sum.
    listener?.('', NO_RESOURCES, 0);
  }

  return {
    worker,
    free: () => free,
    freeSlots,
    charge,
    release,
    adopt: (tasks) => {
      for (const task of tasks) if (!entries.has(task.id)) add(task);
    },
    applyReport,
    task: (id) => entries.get(id)?.task,
    running: () => Array.from(entries.values(), ({ task }) => task),
    teams: () => sumByTeam(entries.values()),
    onChange: (next) => {
      listener = next;
    },
  };
}

/** Accelerators get no margin: they are whole devices, and a margin would block an unused one. */
function withMargin(usage: Resources, margin: number): Resources {
  return {
    processors: usage.processors * (1 + margin),
    memoryMb: usage.memoryMb * (1 + margin),
    accelerators: usage.accelerators,
  };
}

function sumByTeam(entries: Iterable<ChargedTask>): ReadonlyMap<string, TeamCharge> {
  const teams = new Map<string, TeamCharge>();
  for (const { task, charge } of entries) {
    const { running, used } = teams.get(task.team) ?? { running: 0, used: NO_RESOURCES };
    teams.set(task.team, { running: running + 1, used: addResources(used, charge) });
  }
  return teams;
}
