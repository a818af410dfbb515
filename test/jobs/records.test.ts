/**
 * Guards against a new leader that restores other progress than its predecessor recorded, and so runs
 * tasks again or forgets runs that may exist.
 */
import { expect } from 'chai';
import {
  beginOccurrence,
  createProgress,
  decodeJob,
  decodeProgress,
  encodeJob,
  encodeProgress,
  hasBegun,
  isFinalRecord,
  isStepReady,
  parseJobKey,
  JOB_STORE_KEYS,
  openAllTasks,
  openTask,
  restoreProgress,
  setPhase,
  completeOccurrences,
} from '../../src/jobs/index.js';
import { expectDefined } from '../platform-path/support.js';
import type { Job } from '../../src/jobs/index.js';
import { STEP } from './support.js';

const JOB: Job = {
  id: 'a1',
  team: 'lawns',
  queue: 'lookups',
  service: 'rota',
  spec: 'x',
  steps: [STEP, { ...STEP, count: 1, after: [0] }],
  acceptedAtMs: 1000,
  acceptedBy: 'host-1',
};

function restore(text: string, job: Job = JOB) {
  const record = decodeProgress(text);
  if (record === undefined) throw new Error('the record cannot be read');
  const progress = createProgress(job);
  restoreProgress(progress, record);
  return progress;
}

describe('job records', () => {
  describe('a job', () => {
    it('is the same after encoding and decoding', () => {
      const advice = { decideMs: 12, perWorkerMs: 0.2, validMs: 2500 };
      const terms = { priority: 0, maxAttempts: 3, stretch: 1.5, targetLatencyMs: 250, advice };
      for (const job of [JOB, { ...JOB, terms }])
        expect(decodeJob(encodeJob(job))).to.deep.equal(job);
    });

    it('is undefined when decoded from invalid text', () => {
      expect(decodeJob('{"id":1}')).to.equal(undefined);
      expect(decodeJob('not json')).to.equal(undefined);
    });
  });

  describe('progress', () => {
    it('has not begun if its placements were withdrawn before the start orders were sent', () => {
      // Jobs were missing from the backlog once a run number had been assigned to one of their tasks.
      const progress = createProgress(JOB);
      const step = expectDefined(expectDefined(progress.occurrences.get(0)).steps[0]);
      const task = expectDefined(openTask(step, 0));
      task.run = 1;
      expect(hasBegun(progress)).to.equal(false);
      expect(hasBegun(restore(encodeProgress(progress)))).to.equal(false);
      setPhase(step, task, 'placed');
      expect(hasBegun(restore(encodeProgress(progress)))).to.equal(true);
      setPhase(step, task, 'waiting');
      progress.begun = true;
      expect(hasBegun(restore(encodeProgress(progress)))).to.equal(true);
    });

    it('restores runs, failures, checkpoints and workers of tasks', () => {
      const progress = createProgress(JOB);
      const step = expectDefined(expectDefined(progress.occurrences.get(0)).steps[0]);
      const first = expectDefined(openTask(step, 0));
      const second = expectDefined(openTask(step, 1));
      setPhase(step, first, 'done');
      first.run = 2;
      setPhase(step, second, 'placed');
      Object.assign(second, {
        run: 3,
        failures: 1,
        checkpoint: 'c7',
        worker: { id: 'w', born: 12 },
        failedOn: ['v'],
      });
      const restored = restore(encodeProgress(progress));
      expect(restored.occurrences.get(0)).to.deep.equal(progress.occurrences.get(0));
    });

    it('restores a finished job as finished', () => {
      const progress = createProgress(JOB);
      for (const step of expectDefined(progress.occurrences.get(0)).steps) {
        for (const task of openAllTasks(step)) setPhase(step, task, 'done');
      }
      completeOccurrences(progress);
      expect(progress.state).to.equal('completed');
      expect(isFinalRecord(encodeProgress(progress))).to.equal(true);
      expect(isFinalRecord(encodeProgress(createProgress(JOB)))).to.equal(false);
      expect(restore(encodeProgress(progress)).state).to.equal('completed');
    });

    it('does not restart finished occurrences', () => {
      const job = { ...JOB, schedule: { firstAtMs: 0, intervalMs: 10, count: 3 } };
      const progress = createProgress(job);
      progress.nextOccurrence = 2;
      const restored = restore(encodeProgress(progress), job);
      expect([...restored.occurrences.keys()]).to.deep.equal([]);
      expect(restored.nextOccurrence).to.equal(2);
    });

    // Creating the ended occurrences as well took a successor longer than its lease.
    it('restores a job of very many occurrences at once', () => {
      const count = 1_000_000;
      const job = { ...JOB, schedule: { firstAtMs: 0, intervalMs: 0, count } };
      const progress = createProgress(job);
      progress.nextOccurrence = count - 1;
      beginOccurrence(progress);
      const text = encodeProgress(progress);
      const startedAt = performance.now();
      const restored = restore(text, job);
      expect(performance.now() - startedAt).to.be.lessThan(100);
      expect([...restored.occurrences.keys()]).to.deep.equal([count - 1]);
      expect(restored.nextOccurrence).to.equal(count);
    });
  });

  describe('dependencies', () => {
    it('block a step until all tasks of the earlier step are done', () => {
      const occurrence = expectDefined(createProgress(JOB).occurrences.get(0));
      const first = expectDefined(occurrence.steps[0]);
      const second = expectDefined(occurrence.steps[1]);
      for (const task of openAllTasks(first)) {
        expect(isStepReady(occurrence, second)).to.equal(false);
        setPhase(first, task, 'done');
      }
      expect(isStepReady(occurrence, second)).to.equal(true);
    });
  });

  describe('keys', () => {
    it('distinguish a job from its cancellation', () => {
      expect(parseJobKey(JOB_STORE_KEYS.job('a1'))).to.deep.equal({ id: 'a1', kind: 'job' });
      expect(parseJobKey(JOB_STORE_KEYS.cancellation('a1'))).to.deep.equal({
        id: 'a1',
        kind: 'cancellation',
      });
    });
  });
});
