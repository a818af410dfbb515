/**
 * Tracks the health of workers by the outcomes of their tasks (outlier detection). A failure counts
 * against a worker only to the extent that the same catalogue entry succeeds on other workers. An
 * entry that fails everywhere therefore excludes no worker, and a worker that fails every task is
 * excluded before it uses up the attempts of jobs.
 */

export type HealthState = 'healthy' | 'trial' | 'out';

/** Excludes workers that fail far more often than their peers. */
export interface HealthTracker {
  /** Records whether a task succeeded. Must not be called for refusals and cancellations. */
  record(worker: string, entry: string, ok: boolean): void;
  /** `trial`: the worker may run one task at a time, whose outcome readmits or excludes it. */
  state(worker: string): HealthState;
  /** Whether failures of this entry count against the entry rather than the worker. */
  entryFailsEverywhere(entry: string): boolean;
  /** Removes the data of workers that are no longer in the fleet. */
  retain(workers: ReadonlySet<string>): void;
}

/** Outcomes kept per worker and per entry. Older ones say little about the current state. */
const MAX_SAMPLES = 20;
/** Minimum number of failures above the expected number before a worker is excluded. */
const MIN_EXCESS = 3;
/**
 * Minimum excess as a fraction of the outcomes. With 20 outcomes, an entry that fails 30 % of the
 * time on all workers reaches this excess about once in 10^4.
 */
const MIN_EXCESS_RATIO = 0.4;
const MIN_FAILING_RATIO = 0.8;
const MIN_FAILING_WORKERS = 2;
const DEFAULT_EXCLUSION_MS = 30_000;
const MAX_EXCLUSION_MS = 600_000;
const DEFAULT_WINDOW_MS = 600_000;

interface Sample {
  readonly worker: string;
  readonly entry: string;
  readonly ok: boolean;
  readonly at: number;
}

interface Exclusion {
  until: number;
  durationMs: number;
}

export interface HealthTrackerOptions {
  readonly now: () => number;
  /** Duration of the first exclusion. Each failed trial doubles it, up to ten minutes. */
  readonly exclusionMs?: number;
  /** Outcomes older than this are ignored. */
  readonly windowMs?: number;
}

export function createHealthTracker(options: HealthTrackerOptions): HealthTracker {
  const { now, exclusionMs = DEFAULT_EXCLUSION_MS, windowMs = DEFAULT_WINDOW_MS } = options;
  const byWorker = new Map<string, Sample[]>();
  /**
   * The last outcome on each worker, so that a worker that fails many tasks quickly counts once.
   */
  const byEntry = new Map<string, Map<string, Sample>>();
  const exclusions = new Map<string, Exclusion>();

  const recent = (samples: Iterable<Sample> = []) => {
    const since = now() - windowMs;
    return [...samples].filter(({ at }) => at >= since);
  };

  /** Returns the failure rate of the entry on other workers, or 0 if it ran on no other worker. */
  function failureRateElsewhere(entry: string, worker: string): number {
    const others = recent(byEntry.get(entry)?.values()).filter(
      (sample) => sample.worker !== worker,
    );
    return others.length === 0 ? 0 : others.filter(({ ok }) => !ok).length / others.length;
  }

  function exceedsExpectedFailures(worker: string): boolean {
    const samples = recent(byWorker.get(worker));
    const failed = samples.filter(({ ok }) => !ok).length;
    const rates = new Map<string, number>();
    let expected = 0;
    for (const { entry } of samples) {
      const rate = rates.get(entry) ?? failureRateElsewhere(entry, worker);
      rates.set(entry, rate);
      expected += rate;
    }
    const excess = failed - expected;
    return (
      failed * 2 >= samples.length &&
      excess >= Math.max(MIN_EXCESS, MIN_EXCESS_RATIO * samples.length)
    );
  }

  function applyTrialOutcome(worker: string, exclusion: Exclusion, ok: boolean) {
    if (ok) {
      exclusions.delete(worker);
      byWorker.delete(worker);
      return;
    }
    exclusion.durationMs = Math.min(exclusion.durationMs * 2, MAX_EXCLUSION_MS);
    exclusion.until = now() + exclusion.durationMs;
  }

  function record(worker: string, entry: string, ok: boolean) {
    const sample = { worker, entry, ok, at: now() };
    appendSample(byWorker, sample);
    replaceSample(byEntry, sample);
    const exclusion = exclusions.get(worker);
    if (exclusion) {
      if (exclusion.until <= now() && (ok || !entryFailsEverywhere(entry))) {
        applyTrialOutcome(worker, exclusion, ok);
      }
    } else if (!ok && exceedsExpectedFailures(worker)) {
      exclusions.set(worker, { until: now() + exclusionMs, durationMs: exclusionMs });
    }
    if (!ok) readmitWronglyExcluded(entry);
  }

  /** Readmits workers that the entry excluded before it turned out to fail on all workers. */
  function readmitWronglyExcluded(entry: string) {
    if (exclusions.size === 0 || !entryFailsEverywhere(entry)) return;
    for (const worker of [...exclusions.keys()]) {
      const samples = byWorker.get(worker) ?? [];
      const ranEntry = samples.some((sample) => sample.entry === entry);
      if (ranEntry && !exceedsExpectedFailures(worker)) exclusions.delete(worker);
    }
  }

  function entryFailsEverywhere(entry: string): boolean {
    const samples = recent(byEntry.get(entry)?.values());
    const failed = samples.filter(({ ok }) => !ok).length;
    return failed >= MIN_FAILING_WORKERS && failed >= MIN_FAILING_RATIO * samples.length;
  }

  return {
    record,
    state: (worker) => {
      const exclusion = exclusions.get(worker);
      if (!exclusion) return 'healthy';
      return exclusion.until <= now() ? 'trial' : 'out';
    },
    entryFailsEverywhere,
    retain: (workers) => {
      for (const worker of byWorker.keys()) if (!workers.has(worker)) byWorker.delete(worker);
      for (const worker of exclusions.keys()) if (!workers.has(worker)) exclusions.delete(worker);
    },
  };
}

function appendSample(samples: Map<string, Sample[]>, sample: Sample) {
  const list = samples.get(sample.worker) ?? [];
  list.push(sample);
  if (list.length > MAX_SAMPLES) list.shift();
  samples.set(sample.worker, list);
}

function replaceSample(samples: Map<string, Map<string, Sample>>, sample: Sample) {
  const workers = samples.get(sample.entry) ?? new Map<string, Sample>();
  workers.delete(sample.worker);
  workers.set(sample.worker, sample);
  const [oldest] = workers.keys();
  if (workers.size > MAX_SAMPLES && oldest !== undefined) workers.delete(oldest);
  samples.set(sample.entry, workers);
}
