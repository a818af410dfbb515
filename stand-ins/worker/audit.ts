/**
 * What a worker records for tests: every run, and every moment at which it was given more than it
 * can hold.
 */
import type { Resources, WorkerSpec } from './spec.js';

export type RunOutcome =
  'running' | 'answered' | 'failed' | 'stopped' | 'lease-expired' | 'run-limit' | 'lost';

export interface Run {
  readonly task: string;
  readonly team: string;
  readonly entry: string;
  readonly class: string;
  readonly size: Resources;
  readonly chargedTo: string;
  readonly epoch: number;
  readonly bootId: string;
  /** Times in milliseconds since the epoch. */
  readonly start: number;
  end?: number;
  outcome: RunOutcome;
  /** HTTP status of the answer. */
  status?: number;
  checkpoints: number;
}

export type ViolationKind =
  'processors' | 'memory' | 'accelerators' | 'slots' | 'connections' | 'ran-twice';

export interface Violation {
  readonly at: number;
  readonly kind: ViolationKind;
  /** `attempted` if the worker refused what would have broken the limit. */
  readonly effect: 'attempted' | 'happened';
  readonly task?: string;
  readonly detail: string;
}

export interface Audit {
  readonly runs: readonly Run[];
  readonly violations: readonly Violation[];
  /** Most of each resource that running tasks have declared at the same time. */
  readonly peak: Readonly<Resources & { tasks: number }>;
  /** Limits that one more task of this size would break. */
  exceededBy(size: Resources, running: Iterable<{ readonly run: Run }>): readonly ViolationKind[];
  addRun(run: Run, running: Iterable<{ readonly run: Run }>): void;
  addViolation(violation: Omit<Violation, 'at'>): void;
}

/** Absorbs the rounding of added fractional cores. */
const ROUNDING_TOLERANCE = 1e-9;

export function createAudit(spec: WorkerSpec): Audit {
  const runs: Run[] = [];
  const violations: Violation[] = [];
  const ids = new Set<string>();
  const peak = { processors: 0, memoryMb: 0, accelerators: 0, tasks: 0 };

  function addViolation(violation: Omit<Violation, 'at'>): void {
    violations.push({ at: Date.now(), ...violation });
  }

  function addRun(run: Run, running: Iterable<{ readonly run: Run }>): void {
    const declared = sumDeclared(running);
    for (const kind of exceededLimits(spec, declared)) {
      addViolation({ kind, effect: 'happened', task: run.task, detail: 'over capacity' });
    }
    if (ids.has(run.task)) {
      const detail = 'the id has run on this worker before';
      addViolation({ kind: 'ran-twice', effect: 'happened', task: run.task, detail });
    }
    ids.add(run.task);
    runs.push(run);
    raisePeak(peak, declared);
  }

  return {
    runs,
    violations,
    peak,
    exceededBy: (size, running) => exceededLimits(spec, addDeclared(sumDeclared(running), size)),
    addRun,
    addViolation,
  };
}

type Declared = Resources & { tasks: number };

function sumDeclared(running: Iterable<{ readonly run: Run }>): Declared {
  const sum = { processors: 0, memoryMb: 0, accelerators: 0, tasks: 0 };
  for (const { run } of running) addDeclared(sum, run.size);
  return sum;
}

function addDeclared(sum: Declared, size: Resources): Declared {
  sum.processors += size.processors;
  sum.memoryMb += size.memoryMb;
  sum.accelerators += size.accelerators;
  sum.tasks += 1;
  return sum;
}

function raisePeak(peak: Declared, now: Declared): void {
  peak.processors = Math.max(peak.processors, now.processors);
  peak.memoryMb = Math.max(peak.memoryMb, now.memoryMb);
  peak.accelerators = Math.max(peak.accelerators, now.accelerators);
  peak.tasks = Math.max(peak.tasks, now.tasks);
}

function exceededLimits(spec: WorkerSpec, sum: Declared): readonly ViolationKind[] {
  const { capacity, slots } = spec;
  const pairs: readonly (readonly [ViolationKind, number, number])[] = [
    ['processors', sum.processors, capacity.processors],
    ['memory', sum.memoryMb, capacity.memoryMb],
    ['accelerators', sum.accelerators, capacity.accelerators],
    ['slots', sum.tasks, slots],
  ];
  return pairs.filter(([, used, limit]) => used > limit + ROUNDING_TOLERANCE).map(([kind]) => kind);
}
