/**
 * A short soak with a fixed seed, and the judgement on evidence with a known break of each promise, so that a
 * soak that finds nothing is known to look.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { checkInvariants, type Observations } from '../../soak/invariants.js';
import type { SoakJob } from '../../soak/load.js';
import { runSoak } from '../../soak/soak.js';

const SEED = 20261204;
const PROGRAM = 'dist/platform/main.js';

const JOB: SoakJob = {
  id: 'a1',
  steps: [
    { count: 1, cpu: 4000, after: [] },
    { count: 1, cpu: 4000, after: [0] },
  ],
  key: 'key',
  workMs: 100,
  accepted: [{ sentAt: 10_000, answeredAt: 10_020 }],
  refused: false,
  cancelAcknowledgedAt: undefined,
  cancelSent: false,
  reportedStates: [{ at: 10_900, host: 'host-1', state: 'completed' }],
};
const FIRST = { worker: 'w-1', task: 'a1.0.0.0', run: 1, otherTasks: 0 };
const SECOND = { worker: 'w-2', task: 'a1.0.1.0', run: 1, otherTasks: 0 };
const SOUND: Observations = {
  jobs: [JOB],
  starts: [
    { ...FIRST, at: 10_100 },
    { ...SECOND, at: 10_300 },
  ],
  ends: [
    { ...FIRST, how: 'done', at: 10_200 },
    { ...SECOND, how: 'done', at: 10_400 },
  ],
  finalStates: new Map([['a1', 'completed']]),
  workerProcessorMillis: 6000,
  withdrawnKeys: [],
  faults: [],
  unexpectedExits: [],
};

describe('the soak', function () {
  this.timeout(120_000);

  it('finds no broken promise in a short run', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'soak-test-'));
    const outcome = await runSoak({
      seed: SEED,
      durationMs: 8000,
      program: PROGRAM,
      folder,
      hosts: 3,
    });
    expect(outcome.violations, `seed ${String(SEED)}, logs in ${folder}`).to.deep.equal([]);
    expect(outcome.accepted).to.be.greaterThan(0);
    await rm(folder, { recursive: true });
  });

  describe('its judgement', () => {
    it('accepts sound evidence', () => {
      expect(checkInvariants(SOUND)).to.deep.equal([]);
    });

    it('accepts an attempt that waited until its key was granted again', () => {
      // Found by seed 1006: the attempt was sent 60 ms before, over a slow link to the store.
      const withdrawn = [{ key: 'key', from: 7000, to: 10_010 }];
      expect(checkInvariants({ ...SOUND, withdrawnKeys: withdrawn })).to.deep.equal([]);
    });

    it('accepts a late start of a cancelled job beside a fault', () => {
      const starts = [
        { ...FIRST, at: 10_100 },
        { ...SECOND, at: 14_000 },
      ];
      const ends = [SOUND.ends[0], { ...SECOND, how: 'done' as const, at: 14_100 }];
      const evidence = {
        ...SOUND,
        jobs: [{ ...JOB, cancelAcknowledgedAt: 10_150, reportedStates: [] }],
        starts,
        ends: ends.flatMap((end) => end ?? []),
      };
      expect(
        checkInvariants({ ...evidence, faults: [{ from: 11_000, to: 12_000 }] }),
      ).to.deep.equal([]);
      expect(checkInvariants(evidence)).to.have.length(1);
    });

    const broken: readonly [string, RegExp, Partial<Observations>][] = [
      ['a lost job', /^lost: /, { finalStates: new Map([['a1', '410']]) }],
      ['a false refusal', /^refused: /, { jobs: [{ ...JOB, refused: true }] }],
      [
        'a task on two workers at once',
        /^twice: /,
        { starts: [...SOUND.starts, { ...SECOND, worker: 'w-3', run: 2, at: 10_350 }] },
      ],
      [
        'a task that starts again after its end',
        /^twice: .*done/,
        { starts: [...SOUND.starts, { ...SECOND, worker: 'w-3', run: 2, at: 10_500 }] },
      ],
      [
        'a step before the one that it needs',
        /^order: /,
        { starts: [SOUND.starts[0], { ...SECOND, at: 10_150 }].flatMap((start) => start ?? []) },
      ],
      [
        'a worker with more than it holds',
        /^room: /,
        { starts: [...SOUND.starts, { ...FIRST, task: 'a1.0.0.1', at: 10_150 }] },
      ],
      [
        'an end that is shown too early',
        /^shown: /,
        {
          jobs: [{ ...JOB, reportedStates: [{ at: 10_350, host: 'host-1', state: 'completed' }] }],
        },
      ],
      [
        'a withdrawn key that goes on working',
        /^key: /,
        { withdrawnKeys: [{ key: 'key', from: 7000, to: 12_000 }] },
      ],
      ['a process that ends by itself', /^process: /, { unexpectedExits: ['host-1 ended with 1'] }],
    ];
    for (const [name, expected, change] of broken) {
      it(`finds ${name}`, () => {
        const found = checkInvariants({ ...SOUND, ...change });
        expect(
          found.some((line) => expected.test(line)),
          found.join('\n'),
        ).to.equal(true);
      });
    }
  });
});
