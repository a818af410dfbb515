/**
 * Exclusion of workers that fail what they start, and their return after a trial.
 */
import { expect } from 'chai';
import { createWorkerHealth } from '../../src/planner/index.js';

describe('worker health', () => {
  let now = 0;
  const create = () => createWorkerHealth({ now: () => now });

  beforeEach(() => {
    now = 0;
  });

  describe('a worker that fails whatever it starts', () => {
    it('is avoided after failures of two jobs and trusted again after a successful trial', () => {
      const health = create();
      health.record('w', 'job-1', false);
      expect(health.statusOf('w')).to.equal('trusted');
      health.record('w', 'job-2', false);
      expect(health.statusOf('w')).to.equal('avoided');
      now += 1500;
      expect(health.statusOf('w')).to.equal('trial');
      health.record('w', 'job-3', true);
      expect(health.statusOf('w')).to.equal('trusted');
    });

    it('is excluded for longer after each failed trial', () => {
      const health = create();
      health.record('w', 'job-1', false);
      health.record('w', 'job-2', false);
      now += 1500;
      health.record('w', 'job-3', false);
      now += 2900;
      expect(health.statusOf('w')).to.equal('avoided');
      now += 200;
      expect(health.statusOf('w')).to.equal('trial');
    });
  });

  describe('a job that fails everywhere', () => {
    it('does not exclude its workers', () => {
      const health = create();
      for (const worker of ['a', 'b', 'c']) health.record(worker, 'hopeless', false);
      expect(['a', 'b', 'c'].map((worker) => health.statusOf(worker))).to.deep.equal([
        'trusted',
        'trusted',
        'trusted',
      ]);
    });

    // Two hopeless jobs excluded each worker that they came to, for longer each time.
    it('says nothing about a worker on which it failed before or after another', () => {
      const health = create();
      health.record('a', 'hopeless-1', false);
      health.record('a', 'hopeless-2', false);
      expect(health.statusOf('a')).to.equal('avoided');
      health.record('b', 'hopeless-1', false);
      health.record('b', 'hopeless-2', false);
      expect(['a', 'b'].map((worker) => health.statusOf(worker))).to.deep.equal([
        'trusted',
        'trusted',
      ]);
    });

    it('does not clear a worker that other jobs speak against, or that has stalled', () => {
      const health = create();
      for (const job of ['job-1', 'job-2', 'job-3']) health.record('bad', job, false);
      health.exclude('stalled');
      health.record('stalled', 'job-4', false);
      for (const job of ['job-3', 'job-4']) health.record('also-bad', job, false);
      expect(['bad', 'stalled'].map((worker) => health.statusOf(worker))).to.deep.equal([
        'avoided',
        'avoided',
      ]);
    });
  });
});
