/**
 * Evacuations as the leader follows them during one term, with the use of the data centres by its sessions. A deployment
 * without a source of evacuations has none and reports nothing.
 */
import { createEvacuationMonitor, createEvacuations } from '../evacuations/index.js';
import type {
  DataCentreUse,
  Evacuations,
  EvacuationSource,
  EvacuationState,
} from '../evacuations/index.js';
import type { EventLog, Meters } from '../observability/index.js';
import type { ConfirmedView } from './order-window.js';
import type { WorkerSession } from './worker-session-types.js';

export interface CellEvacuations extends Pick<
  Evacuations,
  'isEvacuated' | 'applyListing' | 'applyChange'
> {
  /** The view that bounds the age of orders; none without a source. */
  readonly views: readonly ConfirmedView[];
  /** The evacuations in force; `unknown` until they and the runs of the cell are read, undefined without a source. */
  describe(): readonly EvacuationState[] | 'unknown' | undefined;
  /** Begins to report evacuations, when the runs of the cell are known. */
  startReports(): void;
  close(): void;
}

export interface CellEvacuationsOptions {
  readonly source: EvacuationSource | undefined;
  /** When the evacuations were current for certain, in monotonic milliseconds. */
  readonly confirmedAt: () => number;
  readonly sessions: () => Iterable<Pick<WorkerSession, 'worker' | 'runs'>>;
  readonly onEnded: () => void;
  readonly events: EventLog;
  readonly meters: Meters;
}

export function createCellEvacuations(options: CellEvacuationsOptions): CellEvacuations {
  const { source, confirmedAt, sessions, events, meters } = options;
  const evacuations = createEvacuations({
    prefix: source?.prefix ?? '',
    onBegun: () => {
      monitor?.update();
    },
    onEnded: () => {
      monitor?.update();
      options.onEnded();
    },
  });
  const useOf = (dataCentre: string) => measureUse(sessions(), dataCentre);
  const monitor =
    source === undefined
      ? undefined
      : createEvacuationMonitor({ evacuations, useOf, events, meters });
  let reporting = false;
  const { isEvacuated, applyListing, applyChange } = evacuations;
  return {
    isEvacuated,
    applyListing,
    applyChange,
    views: source === undefined ? [] : [{ confirmedAt, maxAgeMs: source.withinMs }],
    describe: () => {
      const isKnown = reporting && confirmedAt() > -Infinity;
      return monitor === undefined || isKnown ? monitor?.describe() : 'unknown';
    },
    startReports: () => {
      reporting = true;
      monitor?.start();
    },
    close: () => monitor?.close(),
  };
}

/** Counts runs whose order may have been sent; one whose record is not durable yet will be withdrawn. */
function measureUse(
  sessions: Iterable<Pick<WorkerSession, 'worker' | 'runs'>>,
  dataCentre: string,
): DataCentreUse {
  const workers = new Set<string>();
  let runs = 0;
  let runsInUnknownPlaces = 0;
  for (const { worker, runs: present } of sessions) {
    const ordered = [...present.values()].filter(({ status }) => status !== 'logging').length;
    if (worker.dataCentre === '') runsInUnknownPlaces += ordered;
    if (worker.dataCentre !== dataCentre) continue;
    workers.add(worker.incarnation.id);
    runs += ordered;
  }
  return { workers: workers.size, runs, runsInUnknownPlaces };
}
