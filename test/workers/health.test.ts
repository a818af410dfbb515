import { expect } from 'chai';
import { createHealthTracker } from '../../src/workers/index.js';

describe('health', () => {
  let time = 0;
  const create = () => createHealthTracker({ now: () => time, exclusionMs: 1_000 });
  beforeEach(() => {
    time = 0;
  });

  function recordMany(
    health: ReturnType<typeof create>,
    workers: readonly string[],
    outcome: { entry: string; ok: boolean; times: number },
  ) {
    for (let n = 0; n < outcome.times; n += 1) {
      for (const worker of workers) health.record(worker, outcome.entry, outcome.ok);
    }
  }

  it('excludes a worker that fails every task before it uses up the attempts of many jobs', () => {
    const health = create();
    recordMany(health, ['good1', 'good2'], { entry: 'plan', ok: true, times: 5 });
    recordMany(health, ['bad'], { entry: 'plan', ok: false, times: 3 });
    expect(health.state('bad')).to.equal('out');
    expect(health.entryFailsEverywhere('plan')).to.equal(false);
  });

  it('excludes no worker when an entry fails everywhere, even if one worker ran it first', () => {
    const health = create();
    recordMany(health, ['w1'], { entry: 'broken', ok: false, times: 5 });
    recordMany(health, ['w2', 'w3'], { entry: 'broken', ok: false, times: 5 });
    expect(health.entryFailsEverywhere('broken')).to.equal(true);
    for (const worker of ['w1', 'w2', 'w3']) expect(health.state(worker)).to.equal('healthy');
  });

  it('does not exclude a worker for a few failures among many successes', () => {
    const health = create();
    recordMany(health, ['w1', 'w2'], { entry: 'plan', ok: true, times: 10 });
    recordMany(health, ['w1'], { entry: 'plan', ok: false, times: 4 });
    expect(health.state('w1')).to.equal('healthy');
  });

  it('readmits a repaired worker after one trial, and doubles the exclusion of a broken one', () => {
    const health = create();
    recordMany(health, ['good'], { entry: 'plan', ok: true, times: 5 });
    recordMany(health, ['bad'], { entry: 'plan', ok: false, times: 3 });
    time = 1_000;
    expect(health.state('bad')).to.equal('trial');
    health.record('bad', 'plan', false);
    time = 2_999;
    expect(health.state('bad')).to.equal('out');
    time = 3_000;
    health.record('bad', 'plan', true);
    expect(health.state('bad')).to.equal('healthy');
  });
});
