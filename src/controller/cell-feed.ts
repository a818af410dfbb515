/**
 * What a new leader reads at the beginning of its term, and the changes that follow. The three listings are read at
 * the same time: only the leader writes progress and removes jobs, so nothing changes under them, and jobs are
 * applied once the progress and the workers that they refer to are there.
 */
import { JOB_STORE_KEYS } from '../jobs/index.js';
import type { EventLog } from '../observability/index.js';
import type { StoreChange, StoreEntry, Reachability, KeyValueStore } from '../records/index.js';
import { followPrefix, pause } from '../records/index.js';

const RESTORE_RETRY_MS = 50;
/**
 * Changes of workers' entries that share a call. Each worker writes its entry every 1.5 s; a worker that leaves
 * has to be known within 2 s.
 */
const FLEET_GATHER_MS = 150;
/** New jobs that share a call; hosts tell the leader of those that they accept without this delay. */
const JOBS_GATHER_MS = 100;

export interface CellFeed {
  /** Progress, workers and jobs were read and applied. */
  readonly restored: boolean;
  stop(): void;
}

export interface CellFeedOptions {
  readonly store: KeyValueStore;
  readonly reachability: Reachability;
  readonly fleetPrefix: string;
  readonly onProgress: (entries: readonly StoreEntry[]) => void;
  readonly onFleet: (entries: readonly StoreEntry[]) => void;
  readonly onFleetChange: (change: StoreChange) => void;
  readonly onJobs: (entries: readonly StoreEntry[]) => void;
  readonly onJobChange: (change: StoreChange) => void;
  /** Comes once, after all three were applied. */
  readonly onRestored: () => void;
  readonly events: EventLog;
}

export function createCellFeed(options: CellFeedOptions): CellFeed {
  const { store, reachability, events } = options;
  let stopped = false;
  let restored = false;
  let progressRead = false;
  let fleetListed = false;
  /** Jobs and their changes that came before the rest. */
  let jobs: readonly StoreEntry[] | undefined;
  let changes: StoreChange[] = [];

  function proceed() {
    if (restored || stopped || !progressRead || !fleetListed || jobs === undefined) return;
    options.onJobs(jobs);
    restored = true;
    options.onRestored();
    for (const change of changes) options.onJobChange(change);
    jobs = undefined;
    changes = [];
  }

  async function readProgress() {
    while (!stopped) {
      const progress = await store.list(JOB_STORE_KEYS.progress);
      if (progress.isOk()) {
        options.onProgress(progress.value.entries);
        progressRead = true;
        proceed();
        return;
      }
      await pause(RESTORE_RETRY_MS);
    }
  }

  const fleet = followPrefix({
    store,
    prefix: options.fleetPrefix,
    batchDelayMs: FLEET_GATHER_MS,
    events,
    reachability,
    onListing: (entries) => {
      options.onFleet(entries);
      fleetListed = true;
      proceed();
    },
    onChange: options.onFleetChange,
  });
  const accepted = followPrefix({
    store,
    prefix: JOB_STORE_KEYS.jobs,
    batchDelayMs: JOBS_GATHER_MS,
    events,
    reachability,
    onListing: (entries) => {
      if (restored) {
        options.onJobs(entries);
        return;
      }
      jobs = entries;
      changes = [];
      proceed();
    },
    onChange: (change) => {
      if (restored) options.onJobChange(change);
      else changes.push(change);
    },
  });
  void readProgress();

  return {
    get restored() {
      return restored;
    },
    stop: () => {
      stopped = true;
      fleet.stop();
      accepted.stop();
    },
  };
}
