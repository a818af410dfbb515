/**
 * Records the recent events of a process in a ring buffer, and merges events of several processes.
 */
import {
  compareHybridTimes,
  createHybridClock,
  type HybridClock,
  type HybridTime,
} from './hybrid-clock.js';

/** One event of one process. */
export interface TimelineEvent {
  readonly at: HybridTime;
  readonly host: string;
  readonly bootId: string;
  /** Increases by one with each event of the process; a gap shows that events were overwritten. */
  readonly sequence: number;
  readonly kind: string;
  readonly request?: string;
  readonly team?: string;
  readonly worker?: string;
  readonly detail?: string;
}

/** An event as its recorder describes it; the timeline adds time, origin and sequence. */
export type EventDetails = Omit<TimelineEvent, 'at' | 'host' | 'bootId' | 'sequence'>;

/** Selects events; an absent property matches all. */
export interface TimelineFilter {
  readonly request?: string;
  readonly team?: string;
  readonly worker?: string;
  readonly kind?: string;
  /** Earliest time, in milliseconds since the epoch. */
  readonly since?: number;
}

/** The recent events of this process. */
export interface Timeline {
  record(event: EventDetails): void;
  /** The matching events that are still in the buffer, oldest first. */
  query(filter?: TimelineFilter): readonly TimelineEvent[];
  /** Shared with the links, so that events are ordered consistently with messages. */
  readonly clock: HybridClock;
}

export interface TimelineOptions {
  readonly host: string;
  readonly bootId: string;
  readonly now: () => number;
  /** Size of the ring buffer in events. */
  readonly capacity?: number;
}

const DEFAULT_CAPACITY = 20_000;

export function createTimeline(options: TimelineOptions): Timeline {
  const { host, bootId } = options;
  const capacity = options.capacity ?? DEFAULT_CAPACITY;
  const clock = createHybridClock(options.now);
  const buffer: TimelineEvent[] = [];
  let recorded = 0;

  return {
    clock,
    record: (event) => {
      buffer[recorded % capacity] = {
        ...event,
        at: clock.tick(),
        host,
        bootId,
        sequence: recorded,
      };
      recorded += 1;
    },
    query: (filter = {}) => {
      const oldest = recorded > capacity ? recorded % capacity : 0;
      const ordered = [...buffer.slice(oldest), ...buffer.slice(0, oldest)];
      return ordered.filter((event) => matchesFilter(event, filter));
    },
  };
}

export function matchesFilter(event: TimelineEvent, filter: TimelineFilter): boolean {
  return (
    (filter.request === undefined || event.request === filter.request) &&
    (filter.team === undefined || event.team === filter.team) &&
    (filter.worker === undefined || event.worker === filter.worker) &&
    (filter.kind === undefined || event.kind === filter.kind) &&
    (filter.since === undefined || event.at.ms >= filter.since)
  );
}

/**
 * Merges the events of several processes into one order in which no event precedes its cause.
 * Removes duplicates.
 */
export function mergeTimelines(
  timelines: readonly (readonly TimelineEvent[])[],
): readonly TimelineEvent[] {
  const sorted = timelines.flat().sort(compareEvents);
  return sorted.filter((event, index) => {
    const previous = sorted[index - 1];
    return previous === undefined || compareEvents(previous, event) !== 0;
  });
}

function compareEvents(left: TimelineEvent, right: TimelineEvent): number {
  return (
    compareHybridTimes(left.at, right.at) ||
    compareText(left.host, right.host) ||
    compareText(left.bootId, right.bootId) ||
    left.sequence - right.sequence
  );
}

/** Compares code units; the order of `localeCompare` depends on the locale of the process. */
function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
