/**
 * Measures at the leader how much work arrives and ends, and how long the tasks of each queue really take. All figures
 * forget: they are averages over the last seconds, so that they follow a burst of work.
 */

/** Time constant of the averages; a burst of work lasts for longer, and single jobs weigh little in it. */
const SMOOTHING_MS = 4000;
/** Time constant for the durations of a queue, in ends: they change less than the load. */
const DURATION_ENDS = 40;
/** Ends after which the durations of a queue count as known. */
const MIN_ENDS = 10;
/** Bounds of the correction of estimates, so that few odd tasks do not dominate it. */
const MIN_FACTOR = 0.1;
const MAX_FACTOR = 2;
/** Queues that are remembered at most; the configuration names tens of them. */
const MAX_QUEUES = 500;

/** Work that was accepted; `coreMs` is the expected work of all of its tasks. */
export interface ArrivedWork {
  readonly service: string;
  readonly team: string;
  readonly urgent: boolean;
  readonly beyondShare: boolean;
  readonly coreMs: number;
}

/** A run whose resources have become free after `tookMs`. */
export interface EndedRun {
  readonly queue: string;
  readonly service: string;
  readonly team: string;
  readonly processors: number;
  readonly accelerators: number;
  readonly tookMs: number;
  readonly estimateMs: number;
  /** Whether the run has done the whole task, so that its duration tells how long a task takes. */
  readonly done: boolean;
}

/** What the last tasks of a queue were like. */
export interface UsualTask {
  /** Mean time for which a task holds its resources. */
  readonly workMs: number;
  /** Real durations relative to the estimates. */
  readonly factor: number;
  readonly processors: number;
  readonly accelerators: number;
}

/** `urgent`, `all`: urgent or all work within the shares of teams. `beyond`: all work beyond them. */
export type WorkClasses = 'urgent' | 'all' | 'beyond';

export interface FlowMeter {
  noteArrival(work: ArrivedWork): void;
  noteEnd(run: EndedRun): void;
  /** Cores of a service, or of a team, whose work has ended, in core-milliseconds per millisecond. */
  endedCores(flow: string): number;
  /** Cores that newly accepted work asks for. */
  arrivingCores(flow: string, classes: WorkClasses): number;
  /** Undefined as long as too few tasks of the queue have ended. */
  usualTask(queue: string): UsualTask | undefined;
  /** Milliseconds since the meter was started. */
  readonly ageMs: number;
}

interface Average {
  sum: number;
  at: number;
}

interface Durations {
  ends: number;
  workMs: number;
  estimateMs: number;
  processors: number;
  accelerators: number;
}

/** Name of the flow of a team, which no service has. */
export function teamFlow(team: string): string {
  return `team ${team}`;
}

export function createFlowMeter({ now }: { readonly now: () => number }): FlowMeter {
  const startedAt = now();
  const averages = new Map<string, Average>();
  const durations = new Map<string, Durations>();

  function decayed({ sum, at }: Average): number {
    return sum * Math.exp((at - now()) / SMOOTHING_MS);
  }

  function add(name: string, amount: number) {
    const average = averages.get(name) ?? { sum: 0, at: now() };
    averages.set(name, { sum: decayed(average) + amount, at: now() });
  }

  function rate(name: string): number {
    const average = averages.get(name);
    if (average === undefined) return 0;
    // A meter that has just been started has seen only part of the time constant.
    const seen = 1 - Math.exp((startedAt - now()) / SMOOTHING_MS);
    return seen <= 0 ? 0 : decayed(average) / (SMOOTHING_MS * seen);
  }

  return {
    noteArrival: ({ service, team, urgent, beyondShare, coreMs }) => {
      const kind = beyondShare ? 'beyond' : urgent ? 'urgent' : 'other';
      for (const name of [service, teamFlow(team)]) add(`${kind} ${name}`, coreMs);
    },
    noteEnd: (run) => {
      for (const name of [run.service, teamFlow(run.team)]) {
        add(`ended ${name}`, run.processors * run.tookMs);
      }
      if (!run.done || (durations.size >= MAX_QUEUES && !durations.has(run.queue))) return;
      const known = durations.get(run.queue);
      durations.set(run.queue, includeEnd(known, run));
    },
    endedCores: (name) => rate(`ended ${name}`),
    arrivingCores: (name, classes) =>
      classes === 'all'
        ? rate(`urgent ${name}`) + rate(`other ${name}`)
        : rate(`${classes} ${name}`),
    usualTask: (queue) => {
      const known = durations.get(queue);
      if (known === undefined || known.ends < MIN_ENDS) return undefined;
      const { workMs, estimateMs, processors, accelerators } = known;
      const factor = estimateMs > 0 ? workMs / estimateMs : 1;
      return {
        workMs,
        factor: Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor)),
        processors,
        accelerators,
      };
    },
    get ageMs() {
      return now() - startedAt;
    },
  };
}

/** Includes a run in the means, with a weight that does not fall below that of a time constant. */
function includeEnd(known: Durations | undefined, run: EndedRun): Durations {
  const ends = (known?.ends ?? 0) + 1;
  const weight = 1 / Math.min(ends, DURATION_ENDS);
  const mean = (before: number | undefined, value: number) =>
    (before ?? 0) + (value - (before ?? 0)) * weight;
  return {
    ends,
    workMs: mean(known?.workMs, run.tookMs),
    estimateMs: mean(known?.estimateMs, run.estimateMs),
    processors: mean(known?.processors, run.processors),
    accelerators: mean(known?.accelerators, run.accelerators),
  };
}
