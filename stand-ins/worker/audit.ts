/**
 * Record that a worker keeps for tests: every run, every violation of a limit of the worker, and
 * every id that ran twice.
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
  /** `attempted` if the worker refused what would have exceeded the limit. */
  readonly effect: 'attempted' | 'happened';
  readonly task?: string;
  readonly detail: string;
}

export interface Audit {
  readonly runs: readonly Run[];
  readonly violations: readonly Violation[];
  /** Maximum of each resource that concurrently running tasks have declared. */
  readonly peak: Readonly<Resources & { tasks: number }>;
  /** Limits that another task of this size would exceed. */
  exceededBy(size: Resources, running: Iterable<{ readonly run: Run }>): readonly ViolationKind[];
  addRun(run: Run, running: Iterable<{ readonly run: Run }>): void;
  addViolation(violation: Omit<Violation, 'at'>): void;
}

/** Tolerates rounding errors in sums of fractional cores. */
const ROUNDING_TOLERANCE = 1e-9;

export function createAudit(spec: WorkerSpec): Audit {
  const runs: Run[] = [];
  const violations: Violation[] = [];
  const seenTasks = new Set<string>();
  const peak = { processors: 0, memoryMb: 0, accelerators: 0, tasks: 0 };

  function addViolation(violation: Omit<Violation, 'at'>): void {
    violations.push({ at: Date.now(), ...violation });
  }

  function addRun(run: Run, running: Iterable<{ readonly run: Run }>): void {
    const declared = sumDeclared(running);
    for (const kind of exceededLimits(spec, declared)) {
      addViolation({ kind, effect: 'happened', task: run.task, detail: 'over capacity' });
    }
    if (seenTasks.has(run.task)) {
      const detail = 'the id has run on this worker before';
      addViolation({ kind: 'ran-twice', effect: 'happened', task: run.task, detail });
    }
    seenTasks.add(run.task);
    runs.push(run);
    updatePeak(peak, declared);
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

type DeclaredUsage = Resources & { tasks: number };

function sumDeclared(running: Iterable<{ readonly run: Run }>): DeclaredUsage {
  const sum = { processors: 0, memoryMb: 0, accelerators: 0, tasks: 0 };
  for (const { run } of running) addDeclared(sum, run.size);
  return sum;
}

function addDeclared(sum: DeclaredUsage, size: Resources): DeclaredUsage {
  sum.processors += size.processors;
  sum.memoryMb += size.memoryMb;
  sum.accelerators += size.accelerators;
  sum.tasks += 1;
  return sum;
}

function updatePeak(peak: DeclaredUsage, now: DeclaredUsage): void {
  peak.processors = Math.max(peak.processors, now.processors);
  peak.memoryMb = Math.max(peak.memoryMb, now.memoryMb);
  peak.accelerators = Math.max(peak.accelerators, now.accelerators);
  peak.tasks = Math.max(peak.tasks, now.tasks);
}

function exceededLimits(spec: WorkerSpec, sum: DeclaredUsage): readonly ViolationKind[] {
  const { capacity, slots } = spec;
  const pairs: readonly (readonly [ViolationKind, number, number])[] = [
    ['processors', sum.processors, capacity.processors],
    ['memory', sum.memoryMb, capacity.memoryMb],
    ['accelerators', sum.accelerators, capacity.accelerators],
    ['slots', sum.tasks, slots],
  ];
  return pairs.filter(([, used, limit]) => used > limit + ROUNDING_TOLERANCE).map(([kind]) => kind);
}
