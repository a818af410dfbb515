/**
 * The workers that this host holds, as a list of views that are updated with every change of their
 * ledgers. A worker that must not be chosen stays in the list with no free slots.
 */
import { fitsWithin, type Resources, type TaskId, type Worker } from '../model/index.js';
import type { HealthTracker, HealthState, Ledger, RunningTask } from '../workers/index.js';
import type { PlacementPolicy, WorkerView } from './placement.js';
import type { Shapes } from './shapes.js';
import type { Usage } from './usage.js';

/** Health rarely changes; checking every worker for every decision would dominate its cost. */
const HEALTH_REFRESH_MS = 100;

/** One worker of the pool; not to be confused with the task slots of the worker. */
export interface WorkerSlot extends WorkerView {
  readonly ledger: Ledger;
  free: Resources;
  freeSlots: number;
  health: HealthState;
  /** Whether the worker is kept free for one large request. */
  reserved: boolean;
  /** The task that tests whether a worker in trial is healthy again. */
  trial: TaskId | undefined;
}

/** A task on a worker that this host no longer holds. */
export interface LostTask {
  readonly worker: string;
  readonly task: RunningTask;
}

export interface Pool {
  /** Replaces the workers and returns the running tasks of the removed ones. */
  setLedgers(ledgers: readonly Ledger[]): readonly LostTask[];
  slot(worker: string): WorkerSlot | undefined;
  slots(): readonly WorkerSlot[];
  workers(): readonly Worker[];
  capacity(): Resources;
  refreshHealth(): void;
  /** A worker in trial that the size fits on and that has no trial task yet. */
  trialFor(size: Resources): WorkerSlot | undefined;
  hasTrial(): boolean;
  place(size: Resources, placement: PlacementPolicy): WorkerSlot | undefined;
  setReserved(slot: WorkerSlot, reserved: boolean): void;
  /** Whether the size fits on a reserved worker. */
  fitsReserved(slot: WorkerSlot, size: Resources): boolean;
  /** The worker with the fewest tasks that the size fits on once all tasks but services end. */
  findReservable(size: Resources): WorkerSlot | undefined;
}

export interface PoolOptions {
  readonly now: () => number;
  readonly random: () => number;
  readonly health: HealthTracker;
  readonly shapes: Shapes;
  readonly usage: Usage;
}

export function createPool(options: PoolOptions): Pool {
  const { now, random, health, shapes, usage } = options;
  const byWorker = new Map<string, WorkerSlot>();
  const inTrial = new Set<WorkerSlot>();
  let slots: WorkerSlot[] = [];
  let workers: readonly Worker[] = [];
  let capacity = sumCapacity([]);
  let refreshedAt = -Infinity;

  function updateFree(slot: WorkerSlot) {
    slot.free = slot.ledger.free();
    const usable = slot.health === 'healthy' && !slot.reserved;
    slot.freeSlots = usable ? slot.ledger.freeSlots() : 0;
  }

  function updateHealth(slot: WorkerSlot) {
    const state = health.state(slot.worker.id);
    if (state === slot.health) return;
    slot.health = state;
    slot.trial = undefined;
    if (state === 'trial') inTrial.add(slot);
    else inTrial.delete(slot);
    updateFree(slot);
    shapes.unblockFitting(slot);
  }

  function attach(ledger: Ledger): WorkerSlot {
    const slot: WorkerSlot = {
      worker: ledger.worker,
      ledger,
      free: ledger.free(),
      freeSlots: ledger.freeSlots(),
      health: 'healthy',
      reserved: false,
      trial: undefined,
    };
    ledger.onChange((team, change, tasks) => {
      updateFree(slot);
      if (tasks !== 0 || team !== '') usage.add(team, change, tasks);
      if (tasks <= 0) shapes.unblockFitting(slot);
    });
    usage.addAll(ledger.teams());
    return slot;
  }

  function detach(slot: WorkerSlot): readonly LostTask[] {
    slot.ledger.onChange(undefined);
    usage.subtractAll(slot.ledger.teams());
    inTrial.delete(slot);
    const worker = slot.worker.id;
    return slot.ledger.running().map((task) => ({ worker, task }));
  }

  function setLedgers(ledgers: readonly Ledger[]): readonly LostTask[] {
    const kept = new Set(ledgers);
    const removed = slots.filter(({ ledger }) => !kept.has(ledger));
    const lost = removed.flatMap(detach);
    const known = new Map(slots.map((slot) => [slot.ledger, slot]));
    slots = ledgers.map((ledger) => known.get(ledger) ?? attach(ledger));
    byWorker.clear();
    for (const slot of slots) byWorker.set(slot.worker.id, slot);
    workers = slots.map(({ worker }) => worker);
    capacity = sumCapacity(workers);
    for (const slot of slots) {
      updateHealth(slot);
      shapes.unblockFitting(slot);
    }
    return lost;
  }

  function place(size: Resources, placement: PlacementPolicy): WorkerSlot | undefined {
    for (;;) {
      const view = placement(size, slots, random);
      const slot = view && byWorker.get(view.worker.id);
      if (!slot) return undefined;
      if (health.state(slot.worker.id) === slot.health) return slot;
      updateHealth(slot);
    }
  }

  function findReservable(size: Resources): WorkerSlot | undefined {
    let best: WorkerSlot | undefined;
    let fewest = Infinity;
    for (const slot of slots) {
      if (slot.health !== 'healthy') continue;
      const tasks = slot.ledger.running();
      if (tasks.length >= fewest || !fitsBesideServices(size, slot, tasks)) continue;
      best = slot;
      fewest = tasks.length;
    }
    return best;
  }

  return {
    setLedgers,
    slot: (worker) => byWorker.get(worker),
    slots: () => slots,
    workers: () => workers,
    capacity: () => capacity,
    refreshHealth: () => {
      if (now() - refreshedAt < HEALTH_REFRESH_MS) return;
      refreshedAt = now();
      slots.forEach(updateHealth);
    },
    trialFor: (size) => {
      for (const slot of inTrial) if (!slot.trial && fitsLedger(slot.ledger, size)) return slot;
      return undefined;
    },
    hasTrial: () => inTrial.size > 0,
    place,
    setReserved: (slot, reserved) => {
      slot.reserved = reserved;
      updateFree(slot);
      shapes.unblockFitting(slot);
    },
    fitsReserved: (slot, size) =>
      health.state(slot.worker.id) === 'healthy' && fitsLedger(slot.ledger, size),
    findReservable,
  };
}

function fitsLedger(ledger: Ledger, size: Resources): boolean {
  return ledger.freeSlots() > 0 && fitsWithin(size, ledger.free());
}

function fitsBesideServices(
  size: Resources,
  { ledger, worker }: WorkerSlot,
  tasks: readonly RunningTask[],
) {
  const services = tasks.filter((task) => task.class === 'service');
  let { processors, memoryMb, accelerators } = worker.capacity;
  for (const service of services) {
    processors -= service.size.processors;
    memoryMb -= service.size.memoryMb;
    accelerators -= service.size.accelerators;
  }
  // A leaving worker has no free slots even if it is empty.
  const leaving = tasks.length === 0 && ledger.freeSlots() === 0;
  const slotsLeft = Math.min(worker.slots, worker.connections) - services.length;
  return !leaving && slotsLeft > 0 && fitsWithin(size, { processors, memoryMb, accelerators });
}

function sumCapacity(workers: readonly Worker[]): Resources {
  const sum = { processors: 0, memoryMb: 0, accelerators: 0 };
  for (const { capacity } of workers) {
    sum.processors += capacity.processors;
    sum.memoryMb += capacity.memoryMb;
    sum.accelerators += capacity.accelerators;
  }
  return sum;
}
