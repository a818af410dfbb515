/**
 * Runs a short soak test with a fixed seed, and checks observations that each violate one invariant. This shows that a
 * soak test without findings would have detected violations.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { checkInvariants, type Observations } from '../../soak/invariants.js';
import type { SoakJob } from '../../soak/load.js';
import { runSoak } from '../../soak/soak.js';

const SEED = 20261204;
const DAEMON_PATH = 'dist/platform/main.js';

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
const FIRST_RUN = { worker: 'w-1', task: 'a1.0.0.0', run: 1, otherTasks: 0 };
const SECOND_RUN = { worker: 'w-2', task: 'a1.0.1.0', run: 1, otherTasks: 0 };
const VALID_OBSERVATIONS: Observations = {
  jobs: [JOB],
  starts: [
    { ...FIRST_RUN, at: 10_100 },
    { ...SECOND_RUN, at: 10_300 },
  ],
  ends: [
    { ...FIRST_RUN, how: 'done', at: 10_200 },
    { ...SECOND_RUN, how: 'done', at: 10_400 },
  ],
  finalStates: new Map([['a1', 'completed']]),
  workerProcessorMillis: 6000,
  withdrawnKeys: [],
  faults: [],
  unexpectedExits: [],
};

describe('the soak test', function () {
  this.timeout(120_000);

  it('finds no violation in a short run', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'soak-test-'));
    const outcome = await runSoak({
      seed: SEED,
      durationMs: 8000,
      program: DAEMON_PATH,
      folder,
      hosts: 3,
    });
    expect(outcome.violations, `seed ${String(SEED)}, logs in ${folder}`).to.deep.equal([]);
    expect(outcome.accepted).to.be.greaterThan(0);
    await rm(folder, { recursive: true });
  });

  describe('the check of its invariants', () => {
    it('accepts valid observations', () => {
      expect(checkInvariants(VALID_OBSERVATIONS)).to.deep.equal([]);
    });

    it('accepts an attempt that waited until its key was granted again', () => {
      // Found with seed 1006: the attempt was sent 60 ms before, over a slow link to the store.
      const withdrawnKeys = [{ key: 'key', from: 7000, to: 10_010 }];
      expect(checkInvariants({ ...VALID_OBSERVATIONS, withdrawnKeys })).to.deep.equal([]);
    });

    it('accepts a late start of a cancelled job only near a fault', () => {
      const starts = [
        { ...FIRST_RUN, at: 10_100 },
        { ...SECOND_RUN, at: 14_000 },
      ];
      const ends = [
        VALID_OBSERVATIONS.ends[0],
        { ...SECOND_RUN, how: 'done' as const, at: 14_100 },
      ];
      const observations = {
        ...VALID_OBSERVATIONS,
        jobs: [{ ...JOB, cancelAcknowledgedAt: 10_150, reportedStates: [] }],
        starts,
        ends: ends.flatMap((end) => end ?? []),
      };
      expect(
        checkInvariants({ ...observations, faults: [{ from: 11_000, to: 12_000 }] }),
      ).to.deep.equal([]);
      expect(checkInvariants(observations)).to.have.length(1);
    });

    const broken: readonly [string, RegExp, Partial<Observations>][] = [
      ['a lost job', /^lost: /, { finalStates: new Map([['a1', '410']]) }],
      ['a false refusal', /^refused: /, { jobs: [{ ...JOB, refused: true }] }],
      [
        'a task on two workers at once',
        /^twice: /,
        {
          starts: [
            ...VALID_OBSERVATIONS.starts,
            { ...SECOND_RUN, worker: 'w-3', run: 2, at: 10_350 },
          ],
        },
      ],
      [
        'a task that starts again after its end',
        /^twice: .*done/,
        {
          starts: [
            ...VALID_OBSERVATIONS.starts,
            { ...SECOND_RUN, worker: 'w-3', run: 2, at: 10_500 },
          ],
        },
      ],
      [
        'a step that starts before its dependency has ended',
        /^order: /,
        {
          starts: [VALID_OBSERVATIONS.starts[0], { ...SECOND_RUN, at: 10_150 }].flatMap(
            (start) => start ?? [],
          ),
        },
      ],
      [
        'a worker over its capacity',
        /^room: /,
        { starts: [...VALID_OBSERVATIONS.starts, { ...FIRST_RUN, task: 'a1.0.0.1', at: 10_150 }] },
      ],
      [
        'an end that is reported too early',
        /^shown: /,
        {
          jobs: [{ ...JOB, reportedStates: [{ at: 10_350, host: 'host-1', state: 'completed' }] }],
        },
      ],
      [
        'a withdrawn key that still works',
        /^key: /,
        { withdrawnKeys: [{ key: 'key', from: 7000, to: 12_000 }] },
      ],
      [
        'a process that exits unexpectedly',
        /^process: /,
        { unexpectedExits: ['host-1 ended with 1'] },
      ],
    ];
    for (const [name, expected, change] of broken) {
      it(`finds ${name}`, () => {
        const found = checkInvariants({ ...VALID_OBSERVATIONS, ...change });
        expect(
          found.some((line) => expected.test(line)),
          found.join('\n'),
        ).to.equal(true);
      });
    }
  });
});
