/** Builders for the planner's inputs. */
import type { Resources } from '../../src/model/index.js';
import type { CandidateWorker, PlacementConstraint, WaitingStep } from '../../src/planner/index.js';

export function amount(processors: number, memoryMb = processors * 100): Resources {
  return { processors, memoryMb, accelerators: 0 };
}

export function candidate(id: string, options: Partial<CandidateWorker> = {}): CandidateWorker {
  const room = options.room ?? amount(32);
  return {
    id,
    service: 'rota',
    dataCentre: 'dc1',
    rack: 'r1-1',
    labels: [],
    room,
    free: room,
    healthStatus: 'trusted',
    speed: 1,
    releases: () => [],
    runs: 0,
    ...options,
  };
}

export function waiting(key: string, options: Partial<WaitingStep> = {}): WaitingStep {
  return {
    key,
    service: 'rota',
    team: 'lawns',
    priority: 1,
    beyondShare: false,
    objectiveAtMs: 10_000,
    uselessAtMs: 60_000,
    remainingMs: 1000,
    size: amount(1),
    workMs: 1000,
    tasks: [0],
    waiting: options.tasks?.length ?? 1,
    gang: false,
    rackSensitive: false,
    longRunning: false,
    dataRack: undefined,
    requiredLabel: undefined,
    maxPerWorker: undefined,
    placed: new Map(),
    constraint: undefined,
    avoids: () => false,
    ...options,
  };
}

/** Limits a step to the named workers; `onStartable` gets the workers that the planner asks about. */
export function constrainTo(
  ids: readonly string[],
  onStartable: (workers: readonly CandidateWorker[]) => void = () => undefined,
): PlacementConstraint {
  const select = (workers: readonly CandidateWorker[]) =>
    workers.filter(({ id }) => ids.includes(id));
  return {
    known: ids.length > 0,
    startable: (workers) => {
      onStartable(workers);
      return select(workers);
    },
    runnable: select,
  };
}
