/** Guards against work that starts again from nothing because the leader cannot read how far it has come. */
import { expect } from 'chai';
import { createCell } from '../../src/controller/cell.js';
import type { JobEntry } from '../../src/controller/cell.js';
import type { FleetSessions } from '../../src/controller/fleet-sessions.js';
import { createJobIntake } from '../../src/controller/job-intake.js';
import type { JobLifecycle } from '../../src/controller/job-lifecycle.js';
import type { ProgressLog } from '../../src/controller/progress-log.js';
import { createShareMeter } from '../../src/controller/share-meter.js';
import { encodeJob, JOB_STORE_KEYS } from '../../src/jobs/index.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import type { StoreEntry } from '../../src/records/index.js';
import { STEP } from '../jobs/support.js';

const JOB_IDS = ['00000000000000a1', '00000000000000a2'] as const;
const [SOUND, ODD] = JOB_IDS;
const REVISION = 41;

function listJobs(): StoreEntry[] {
  return JOB_IDS.map((id) => ({
    key: JOB_STORE_KEYS.job(id),
    value: encodeJob({
      id,
      team: 'lawns',
      queue: 'lookups',
      service: 'rota',
      spec: '',
      steps: [STEP],
      acceptedAtMs: Date.now(),
      acceptedBy: 'h1',
      configurationRevision: REVISION,
    }),
    revision: 1,
  }));
}

interface TestIntake {
  readonly savedProgress?: ReadonlyMap<string, StoreEntry>;
  readonly onCancelled?: (job: string) => void;
  readonly onConfigurationRevision?: (revision: number) => void;
}

function createTestIntake({
  savedProgress = new Map(),
  onCancelled,
  onConfigurationRevision,
}: TestIntake) {
  const cell = createCell({ now: () => 0, onStepSettled: () => undefined });
  const intake = createJobIntake({
    cell,
    sessions: {} as FleetSessions,
    lifecycle: {
      cancel: ({ progress }: JobEntry) => onCancelled?.(progress.job.id),
    } as unknown as JobLifecycle,
    log: { setRevision: () => undefined } as unknown as ProgressLog,
    share: createShareMeter({ now: () => 0 }),
    savedProgress,
    finishedJobs: new Map(),
    configuration: () => undefined,
    beginDueOccurrences: () => undefined,
    onChange: () => undefined,
    onConfigurationRevision,
    contain: (_source, _fields, handle) => {
      handle();
    },
    events: SILENT_EVENTS,
  });
  return { cell, intake };
}

describe('job intake', () => {
  describe('a job whose cancellation is known before its record', () => {
    // The cancellations are listed more often than the jobs, so one of a job that is not known yet must not be dropped.
    it('is cancelled as soon as its record is read', () => {
      const cancelled: string[] = [];
      const { intake } = createTestIntake({ onCancelled: (job) => cancelled.push(job) });
      intake.applyCancelledJobs([ODD]);
      intake.applyListing(listJobs());
      expect(cancelled).to.deep.equal([ODD]);
    });
  });

  describe('a job that was accepted under a later configuration than that of the leader', () => {
    // Guards against a leader that starts its tasks and then answers by its own configuration.
    it('makes the revision known, whether it is announced or read from the store', () => {
      const noted: number[] = [];
      const { intake } = createTestIntake({
        onConfigurationRevision: (revision) => noted.push(revision),
      });
      intake.applyListing(listJobs());
      expect(noted).to.deep.equal([REVISION, REVISION]);
    });
  });

  describe('a job with a progress record that cannot be read', () => {
    // Guards against a second run of tasks that had run under a former leader (TWICE).
    it('is withheld at the restore and at later listings, and others are not', () => {
      const odd = { key: JOB_STORE_KEYS.progressOf(ODD), value: '{"state":5}', revision: 7 };
      const savedProgress = new Map<string, StoreEntry>([[ODD, odd]]);
      const { cell, intake } = createTestIntake({ savedProgress });
      intake.applyListing(listJobs());
      expect([...cell.jobs.keys()]).to.deep.equal([SOUND]);
      savedProgress.clear();
      intake.applyListing(listJobs());
      expect([...cell.jobs.keys()]).to.deep.equal([SOUND]);
    });
  });
});
