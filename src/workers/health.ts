/**
 * Health of workers, judged by the outcomes of their tasks. A failure counts against a worker only
 * as far as the same entry succeeds elsewhere, so that an entry that fails everywhere excludes
 * no worker, and a worker that fails everything uses up no attempts of a job.
 */

export type HealthState = 'healthy' | 'trial' | 'out';

/** Excludes workers that fail far more often than their peers. */
export interface HealthTracker {
  /** Records the outcome of a task. Refusals and cancellations are not outcomes of this kind. */
  record(worker: string, entry: string, ok: boolean): void;
  /** `trial`: the worker may run one task at a time, whose outcome decides. */
  state(worker: string): HealthState;
  /** Whether failures of this entry count against the entry rather than the worker. */
  entryFailsEverywhere(entry: string): boolean;
  /** Drops what is known of workers that left the fleet. */
  retain(workers: ReadonlySet<string>): void;
}

/** Outcomes remembered per worker and per entry; older ones say little about the present. */
const HISTORY = 20;
/** Failures beyond those expected from the entries before a worker is excluded. */
const MIN_EXCESS = 3;
/** At 20 outcomes, an entry that fails 30 % everywhere reaches this excess about once in 10^4. */
const EXCESS_SHARE = 0.4;
const FAILING_SHARE = 0.8;
const FAILING_WORKERS = 2;
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
  lengthMs: number;
}

export interface HealthTrackerOptions {
  readonly now: () => number;
  /** First exclusion; each failed trial doubles it, up to ten minutes. */
  readonly exclusionMs?: number;
  /** Outcomes older than this are ignored. */
  readonly windowMs?: number;
}

export function createHealthTracker(options: HealthTrackerOptions): HealthTracker {
  const { now, exclusionMs = DEFAULT_EXCLUSION_MS, windowMs = DEFAULT_WINDOW_MS } = options;
  const byWorker = new Map<string, Sample[]>();
  /** The last outcome on each worker, so that one worker that fails quickly counts once. */
  const byEntry = new Map<string, Map<string, Sample>>();
  const exclusions = new Map<string, Exclusion>();

  const recent = (samples: Iterable<Sample> = []) => {
    const since = now() - windowMs;
    return [...samples].filter(({ at }) => at >= since);
  };

  /** Failure rate of the entry on other workers, or 0 if it ran on no other. */
  function rateElsewhere(entry: string, worker: string): number {
    const others = recent(byEntry.get(entry)?.values()).filter(
      (sample) => sample.worker !== worker,
    );
    return others.length === 0 ? 0 : others.filter(({ ok }) => !ok).length / others.length;
  }

  function failsFarMoreOften(worker: string): boolean {
    const samples = recent(byWorker.get(worker));
    const failed = samples.filter(({ ok }) => !ok).length;
    const rates = new Map<string, number>();
    let expected = 0;
    for (const { entry } of samples) {
      const rate = rates.get(entry) ?? rateElsewhere(entry, worker);
      rates.set(entry, rate);
      expected += rate;
    }
    const excess = failed - expected;
    return (
      failed * 2 >= samples.length && excess >= Math.max(MIN_EXCESS, EXCESS_SHARE * samples.length)
    );
  }

  function decideTrial(worker: string, exclusion: Exclusion, ok: boolean) {
    if (ok) {
      exclusions.delete(worker);
      byWorker.delete(worker);
      return;
    }
    exclusion.lengthMs = Math.min(exclusion.lengthMs * 2, MAX_EXCLUSION_MS);
    exclusion.until = now() + exclusion.lengthMs;
  }

  function record(worker: string, entry: string, ok: boolean) {
    const sample = { worker, entry, ok, at: now() };
    appendSample(byWorker, sample);
    replaceSample(byEntry, sample);
    const exclusion = exclusions.get(worker);
    if (exclusion) {
      if (exclusion.until <= now() && (ok || !entryFailsEverywhere(entry))) {
        decideTrial(worker, exclusion, ok);
      }
    } else if (!ok && failsFarMoreOften(worker)) {
      exclusions.set(worker, { until: now() + exclusionMs, lengthMs: exclusionMs });
    }
    if (!ok) readmitUnjustly(entry);
  }

  /** An entry may turn out to fail everywhere only after it has excluded a worker. */
  function readmitUnjustly(entry: string) {
    if (exclusions.size === 0 || !entryFailsEverywhere(entry)) return;
    for (const worker of [...exclusions.keys()]) {
      const samples = byWorker.get(worker) ?? [];
      const involved = samples.some((sample) => sample.entry === entry);
      if (involved && !failsFarMoreOften(worker)) exclusions.delete(worker);
    }
  }

  function entryFailsEverywhere(entry: string): boolean {
    const samples = recent(byEntry.get(entry)?.values());
    const failed = samples.filter(({ ok }) => !ok).length;
    return failed >= FAILING_WORKERS && failed >= FAILING_SHARE * samples.length;
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
  if (list.length > HISTORY) list.shift();
  samples.set(sample.worker, list);
}

function replaceSample(samples: Map<string, Map<string, Sample>>, sample: Sample) {
  const workers = samples.get(sample.entry) ?? new Map<string, Sample>();
  workers.delete(sample.worker);
  workers.set(sample.worker, sample);
  const [oldest] = workers.keys();
  if (workers.size > HISTORY && oldest !== undefined) workers.delete(oldest);
  samples.set(sample.entry, workers);
}
