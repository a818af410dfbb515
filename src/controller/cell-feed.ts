/**
 * Restores the state of the cell from the store at the beginning of a term and follows later changes. Progress,
 * workers and jobs are read concurrently, which is consistent because only the leader writes progress and removes
 * jobs. Jobs are applied last, because they refer to progress and workers.
 */
import type { EvacuationSource } from '../evacuations/index.js';
import { JOB_STORE_KEYS } from '../jobs/index.js';
import { createFaultContainment } from '../observability/index.js';
import type { EventLog, Meters } from '../observability/index.js';
import type { StoreChange, StoreEntry, Reachability, KeyValueStore } from '../records/index.js';
import { followPrefix, pause } from '../records/index.js';
import { SILENT_WORKERS_KEY } from './silent-workers.js';
import { followTiming, listingIntervalMs } from './order-window.js';

const RESTORE_RETRY_MS = 50;
/**
 * Batch delay for changes of workers' entries, which adds to the age of the view. Each worker writes its entry every
 * 1.5 s, and a worker that is leaving has to be known within 2 s.
 */
const FLEET_BATCH_DELAY_MS = 150;
/** Batch delay for new jobs. Hosts also announce the jobs that they accept directly, without this delay. */
const JOBS_BATCH_DELAY_MS = 100;
/** Batch delay for evacuations, which are rare; the delay only keeps a script that writes many from many calls. */
const EVACUATIONS_BATCH_DELAY_MS = 100;

export interface CellFeed {
  /** Whether progress, workers and jobs have been read and applied. */
  readonly restored: boolean;
  /** When the workers' entries were current for certain, in monotonic milliseconds. */
  readonly fleetConfirmedAt: number;
  /** When the cancellations were current for certain, in monotonic milliseconds. */
  readonly cancellationsConfirmedAt: number;
  /** When the evacuations were current for certain, in monotonic milliseconds; minus infinity without a source. */
  readonly evacuationsConfirmedAt: number;
  stop(): void;
}

export interface CellFeedOptions {
  readonly store: KeyValueStore;
  readonly reachability: Reachability;
  readonly fleetPrefix: string;
  /** Age of the workers' entries that orders must not exceed. */
  readonly fleetMaxAgeMs: number;
  /** Age of the cancellations that orders must not exceed. */
  readonly cancellationsMaxAgeMs: number;
  /** Undefined if the deployment evacuates no data centres, which are not followed then. */
  readonly evacuations?: EvacuationSource | undefined;
  readonly onProgress: (entries: readonly StoreEntry[]) => void;
  /** Called with the record of silent workers, before workers are called; undefined if there is none. */
  readonly onSilentWorkers: (entry: StoreEntry | undefined) => void;
  readonly onFleet: (entries: readonly StoreEntry[]) => void;
  readonly onFleetChange: (change: StoreChange) => void;
  readonly onJobs: (entries: readonly StoreEntry[]) => void;
  readonly onJobChange: (change: StoreChange) => void;
  /** Called with the ids of all cancelled jobs that have not ended. */
  readonly onCancelledJobs: (ids: readonly string[]) => void;
  readonly onCancelledJob: (id: string) => void;
  readonly onEvacuations: (entries: readonly StoreEntry[]) => void;
  readonly onEvacuationChange: (change: StoreChange) => void;
  /** Called once, after progress, workers and jobs were applied. */
  readonly onRestored: () => void;
  readonly events: EventLog;
  readonly meters?: Meters | undefined;
}

export function createCellFeed(options: CellFeedOptions): CellFeed {
  const { store, reachability, events, meters } = options;
  const faults = createFaultContainment({ events, meters });
  let stopped = false;
  let restored = false;
  let progressRead = false;
  let silentWorkersRead = false;
  let fleetListed = false;
  /** Jobs and their changes that arrived before progress and workers were applied. */
  let jobs: readonly StoreEntry[] | undefined;
  let changes: StoreChange[] = [];

  function finishRestore() {
    if (restored || stopped || jobs === undefined) return;
    if (!progressRead || !silentWorkersRead || !fleetListed) return;
    options.onJobs(jobs);
    restored = true;
    options.onRestored();
    for (const change of changes) {
      faults.contain('change of jobs', { key: change.key }, () => {
        options.onJobChange(change);
      });
    }
    jobs = undefined;
    changes = [];
  }

  async function readProgress() {
    while (!stopped) {
      const progress = await store.list(JOB_STORE_KEYS.progress);
      if (progress.isOk()) {
        options.onProgress(progress.value.entries);
        progressRead = true;
        finishRestore();
        return;
      }
      await pause(RESTORE_RETRY_MS);
    }
  }

  async function readSilentWorkers() {
    while (!stopped) {
      const found = await store.get(SILENT_WORKERS_KEY);
      if (found.isOk()) {
        options.onSilentWorkers(found.value);
        silentWorkersRead = true;
        finishRestore();
        return;
      }
      await pause(RESTORE_RETRY_MS);
    }
  }

  const fleetFollower = followPrefix({
    store,
    prefix: options.fleetPrefix,
    ...followTiming(options.fleetMaxAgeMs),
    refreshMs: listingIntervalMs(options.fleetMaxAgeMs),
    batchDelayMs: FLEET_BATCH_DELAY_MS,
    events,
    meters,
    reachability,
    onListing: (entries) => {
      options.onFleet(entries);
      fleetListed = true;
      finishRestore();
    },
    onChange: options.onFleetChange,
  });
  const jobFollower = followPrefix({
    store,
    prefix: JOB_STORE_KEYS.jobs,
    batchDelayMs: JOBS_BATCH_DELAY_MS,
    events,
    meters,
    reachability,
    onListing: (entries) => {
      if (restored) {
        options.onJobs(entries);
        return;
      }
      jobs = entries;
      changes = [];
      finishRestore();
    },
    onChange: (change) => {
      if (restored) options.onJobChange(change);
      else changes.push(change);
    },
  });
  const idOfCancelled = (key: string) => key.slice(JOB_STORE_KEYS.cancelled.length);
  // Listings of all jobs are too long to repeat in time for orders, those of cancelled jobs are not.
  const cancellationFollower = followPrefix({
    store,
    prefix: JOB_STORE_KEYS.cancelled,
    ...followTiming(options.cancellationsMaxAgeMs),
    refreshMs: listingIntervalMs(options.cancellationsMaxAgeMs),
    batchDelayMs: JOBS_BATCH_DELAY_MS,
    events,
    meters,
    reachability,
    onListing: (entries) => {
      options.onCancelledJobs(entries.map(({ key }) => idOfCancelled(key)));
    },
    onChange: ({ key, value }) => {
      if (value !== undefined) options.onCancelledJob(idOfCancelled(key));
    },
  });
  const evacuationFollower =
    options.evacuations === undefined
      ? undefined
      : followPrefix({
          store,
          prefix: options.evacuations.prefix,
          ...followTiming(options.evacuations.withinMs),
          refreshMs: listingIntervalMs(options.evacuations.withinMs),
          batchDelayMs: EVACUATIONS_BATCH_DELAY_MS,
          events,
          meters,
          reachability,
          onListing: options.onEvacuations,
          onChange: options.onEvacuationChange,
        });
  faults.keepRunning('read progress', readProgress);
  faults.keepRunning('read silent workers', readSilentWorkers);

  return {
    get restored() {
      return restored;
    },
    get fleetConfirmedAt() {
      return fleetFollower.confirmedAt;
    },
    get cancellationsConfirmedAt() {
      return cancellationFollower.confirmedAt;
    },
    get evacuationsConfirmedAt() {
      return evacuationFollower?.confirmedAt ?? -Infinity;
    },
    stop: () => {
      stopped = true;
      fleetFollower.stop();
      jobFollower.stop();
      cancellationFollower.stop();
      evacuationFollower?.stop();
    },
  };
}
