/**
 * Detects a leader on a machine that has become slow, on which placement for the whole cell would be slow too. Such a
 * leader yields to another host. A leader that is merely busy keeps the leadership: its successor would have the same
 * work and would have to restore the cell first, which lets an overload turn into an outage.
 *
 * The two differ in how much processor time the process gets while it has work to do. On a healthy host that is the
 * host's share of a core; on a slow one it is a fraction of that.
 */

/** Long enough that one garbage collection or one large listing does not dominate the window. */
const WINDOW_MS = 1000;
/** Share of the window in which the event loop is late. */
const OVERLOADED_SHARE = 0.5;
/** A host that gets less than this fraction of its share of a core while it has work is slow. */
const SLOW_FRACTION = 0.6;
/** Start of a term that is ignored: a new leader reads all jobs at once, which says nothing about its host. */
const SETTLING_MS = 1500;
/** Shortest time between two hand-overs, so that hosts that are slow in turn do not pass the leadership around. */
const MIN_INTERVAL_MS = 10_000;

/** Load of the process since the last sample. */
export interface LoadSample {
  /** By how much a timer was late. */
  readonly delayMs: number;
  /** Time in which the event loop had work to do. */
  readonly activeMs: number;
  /** Processor time that the process got. */
  readonly processorMs: number;
}

export interface LoadMonitor {
  /** Called when this host starts to lead. */
  startTerm(nowMs: number): void;
  /** Records a sample and returns whether this host should yield the leadership. */
  note(sample: LoadSample, nowMs: number): boolean;
}

export interface LoadMonitorOptions {
  /** Share of a core that one thread of this host gets. */
  readonly coreShare: number;
}

export function createLoadMonitor({ coreShare }: LoadMonitorOptions): LoadMonitor {
  let samples: (LoadSample & { readonly atMs: number })[] = [];
  let startedAt = Infinity;
  let yieldedAt = -Infinity;
  return {
    startTerm: (nowMs) => {
      startedAt = nowMs;
      samples = [];
    },
    note: (sample, nowMs) => {
      if (nowMs - startedAt < SETTLING_MS) return false;
      samples = [...samples, { ...sample, atMs: nowMs }].filter(
        ({ atMs }) => nowMs - atMs < WINDOW_MS,
      );
      if (nowMs - yieldedAt < MIN_INTERVAL_MS) return false;
      if (sumOf(samples, 'delayMs') < WINDOW_MS * OVERLOADED_SHARE) return false;
      const expectedMs = sumOf(samples, 'activeMs') * Math.min(1, coreShare);
      if (sumOf(samples, 'processorMs') >= expectedMs * SLOW_FRACTION) return false;
      yieldedAt = nowMs;
      return true;
    },
  };
}

function sumOf(samples: readonly LoadSample[], field: keyof LoadSample): number {
  return samples.reduce((sum, sample) => sum + sample[field], 0);
}
