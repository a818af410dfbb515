/**
 * Reports evacuations to operators: in the log when one begins, when nothing is left to run in the data centre and when
 * it ends, and in gauges. Reports begin with `start`, when the runs of former leaders are known, so that no data centre
 * passes for empty before.
 */
import type { EventLog, Meters } from '../observability/index.js';
import type { Evacuation, Evacuations } from './evacuations.js';

/** Runs end at any moment; an operator who waits for an empty data centre learns of it within this time. */
const CHECK_INTERVAL_MS = 250;

/** What is in a data centre. */
export interface DataCentreUse {
  readonly workers: number;
  /** Runs whose start was ordered and that have not ended. */
  readonly runs: number;
  /** Runs on workers whose data centre is not known, because their entries are gone. */
  readonly runsInUnknownPlaces: number;
}

/** An evacuation in force, as operators see it. */
export interface EvacuationState {
  readonly dataCentre: string;
  /** Since when this leader follows the evacuation, in ISO 8601. */
  readonly since: string;
  readonly inForceMs: number;
  readonly workers: number;
  readonly runs: number;
}

export interface EvacuationMonitor {
  /** Begins to report. */
  start(): void;
  /** Reports what has changed since the last call; called by itself at an interval. */
  update(): void;
  /** The evacuations in force, by the name of the data centre. */
  describe(): readonly EvacuationState[];
  /** Ends the reports and resets the gauges, at the end of a term. */
  close(): void;
}

export interface EvacuationMonitorOptions {
  readonly evacuations: Evacuations;
  readonly useOf: (dataCentre: string) => DataCentreUse;
  readonly events: EventLog;
  readonly meters: Meters;
  /** Monotonic milliseconds. */
  readonly now?: () => number;
}

export function createEvacuationMonitor(options: EvacuationMonitorOptions): EvacuationMonitor {
  const { evacuations, useOf, events, meters, now = () => performance.now() } = options;
  const reported = new Map<string, { readonly since: number; emptied: boolean }>();
  let timer: NodeJS.Timeout | undefined;

  const elapsedMs = (since: number) => Math.round(now() - since);

  function reportEnded() {
    const inForce = new Map(evacuations.all().map(({ dataCentre, since }) => [dataCentre, since]));
    for (const [dataCentre, { since, emptied }] of reported) {
      if (inForce.get(dataCentre) === since) continue;
      reported.delete(dataCentre);
      meters.evacuationRuns.remove({ dataCentre });
      events.info('evacuation-ended', { dataCentre, inForceMs: elapsedMs(since), emptied });
    }
  }

  function reportPresent({ dataCentre, revision, since }: Evacuation) {
    const { workers, runs, runsInUnknownPlaces } = useOf(dataCentre);
    meters.evacuationRuns.set({ dataCentre }, runs);
    let state = reported.get(dataCentre);
    if (state === undefined) {
      state = { since, emptied: false };
      reported.set(dataCentre, state);
      events.info('evacuation-begun', { dataCentre, revision, runs, workers });
    }
    if (state.emptied || runs > 0 || runsInUnknownPlaces > 0) return;
    state.emptied = true;
    events.info('evacuation-emptied', { dataCentre, tookMs: elapsedMs(since) });
  }

  function update() {
    if (timer === undefined) return;
    reportEnded();
    const present = evacuations.all();
    meters.evacuatedDataCentres.set(present.length);
    for (const evacuation of present) reportPresent(evacuation);
  }

  return {
    start: () => {
      timer = setInterval(update, CHECK_INTERVAL_MS);
      timer.unref();
      update();
    },
    update,
    describe: () =>
      evacuations.all().map(({ dataCentre, since }) => {
        const { workers, runs } = useOf(dataCentre);
        const inForceMs = elapsedMs(since);
        const from = new Date(Date.now() - inForceMs).toISOString();
        return { dataCentre, since: from, inForceMs, workers, runs };
      }),
    close: () => {
      clearInterval(timer);
      timer = undefined;
      meters.evacuatedDataCentres.set(0);
      meters.evacuationRuns.reset();
    },
  };
}
