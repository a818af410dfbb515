/**
 * Guards against waits that are computed too long, because jobs are refused for them: in a cell with room, behind work
 * that takes no room, on a leader that has measured nothing yet, and from a single wrong estimate.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { expectedWaits, MAX_WAIT_MS } from '../../src/admission/index.js';
import type { Backlog, ServiceRoom, WaitingWork } from '../../src/admission/index.js';
import { CHECKS, PATTERNS } from './loads.js';

const NOW_MS = 100_000;
const FULL: ServiceRoom = { free: [], busyCores: 1000 };
const USUAL = { workMs: 500, factor: 1, processors: 10, accelerators: 0 };

interface WorkOptions extends Partial<Omit<WaitingWork, 'step'>> {
  readonly step?: Partial<WaitingWork['step']>;
}

/** A step of urgent work that can be on time: 10 tasks of 10 cores for half a second, 50,000 core-milliseconds. */
function createWork({ step = {}, ...rest }: WorkOptions = {}): WaitingWork {
  return {
    queue: 'checks',
    waiting: 10,
    barrier: 'room',
    ...rest,
    step: {
      service: 'seams',
      team: 'lawns',
      priority: 0,
      beyondShare: false,
      objectiveAtMs: NOW_MS + 800,
      uselessAtMs: NOW_MS + 3000,
      remainingMs: 500,
      size: { processors: 10, memoryMb: 0, accelerators: 0 },
      workMs: 500,
      gang: false,
      requiredLabel: undefined,
      ...step,
    },
  };
}

/** Late, of use for another second, and hence held up for most of the time for which it is of use. */
const LATE = { objectiveAtMs: NOW_MS - 2000, uselessAtMs: NOW_MS + 1000 };
const JUST_LATE = { objectiveAtMs: NOW_MS - 300, uselessAtMs: NOW_MS + 3000 };
const DEFERRABLE = { priority: 1, objectiveAtMs: NOW_MS + 3000, uselessAtMs: NOW_MS + 9000 };

function times(count: number, options?: WorkOptions): WaitingWork[] {
  return Array.from({ length: count }, () => createWork(options));
}

interface CaseOptions {
  readonly work: readonly WaitingWork[];
  readonly room?: ServiceRoom;
  readonly ageMs?: number;
  readonly endedCores?: number;
  readonly urgentCores?: number;
  readonly otherCores?: number;
  readonly usual?: typeof USUAL | undefined;
}

function computeWaits(options: CaseOptions) {
  return computeAll(options).queues;
}

function computeAll(options: CaseOptions) {
  const { work, room = FULL, ageMs = 20_000, endedCores = 1000 } = options;
  const { urgentCores = 0, otherCores = 0 } = options;
  const usual = 'usual' in options ? options.usual : USUAL;
  const flow: Backlog['flow'] = {
    ageMs,
    endedCores: (name) => (name === 'team lawns' ? 40 : endedCores),
    arrivingCores: (_service, classes) =>
      classes === 'urgent' ? urgentCores : classes === 'all' ? urgentCores + otherCores : 0,
    usualTask: () => usual,
  };
  return expectedWaits({
    nowMs: NOW_MS,
    work,
    rooms: new Map([['seams', room]]),
    teamCores: new Map([['lawns', 50]]),
    queues: [CHECKS, PATTERNS],
    flow,
  });
}

describe('expected wait', () => {
  describe('of urgent work in a burst', () => {
    it('is the work ahead by the rate at which room becomes free', () => {
      const waits = computeWaits({ work: times(40) });
      expect(waits.get('checks')?.within).to.deep.equal({ onTimeMs: 2000, lateMs: 2000 });
    });

    it('does not count deferrable work that can be on time', () => {
      const work = [...times(20), ...times(100, { step: DEFERRABLE })];
      expect(computeWaits({ work }).get('checks')?.within.onTimeMs).to.equal(1000);
    });

    it('is long for a job that becomes late while late work is held up by what arrives', () => {
      const work = [...times(20), ...times(10, { step: LATE })];
      const within = computeWaits({ work, urgentCores: 700, otherCores: 400 }).get(
        'checks',
      )?.within;
      // What waits, and what arrives in the next five seconds, at the rate of 1000 cores.
      expect(within).to.deep.equal({ onTimeMs: 1000, lateMs: 1500 + 5500 });
    });

    it('is no longer for a job that becomes late while late work gets room soon', () => {
      const work = [...times(20), ...times(10, { step: JUST_LATE })];
      const within = computeWaits({ work, urgentCores: 1100 }).get('checks')?.within;
      expect(within).to.deep.equal({ onTimeMs: 1000, lateMs: 1000 });
    });
  });

  describe('of deferrable work behind a burst of urgent work', () => {
    const queue = 'patterns';
    const urgent = times(10);
    const held = times(10, { queue, step: { ...LATE, priority: 1 } });

    it('counts the urgent work that waits', () => {
      const work = [...urgent, ...times(10, { queue, step: DEFERRABLE })];
      const within = computeWaits({ work, urgentCores: 900 }).get(queue)?.within;
      expect(within).to.deep.equal({ onTimeMs: 1000, lateMs: 1000 });
    });

    it('counts that which arrives meanwhile if deferrable work is held up', () => {
      const within = computeWaits({ work: [...urgent, ...held], urgentCores: 500 }).get(
        queue,
      )?.within;
      expect(within?.onTimeMs).to.equal(1000);
    });

    it('takes the burst to last for seconds only', () => {
      const work = [...urgent, ...held];
      const within = computeWaits({ work, urgentCores: 990 }).get(queue)?.within;
      expect(within?.onTimeMs).to.equal(500 + 0.99 * 5000);
    });
  });

  describe('of one team at many times its usual load', () => {
    const work = [...times(4), ...times(100, { step: { beyondShare: true } })];

    it('does not concern jobs of others', () => {
      expect(computeWaits({ work }).get('checks')?.within.onTimeMs).to.equal(200);
    });

    it('counts all other work for jobs beyond the share', () => {
      const beyond = computeWaits({ work, urgentCores: 480 }).get('checks')?.beyond;
      expect(beyond?.onTimeMs).to.equal(5200);
    });

    it('counts what arrives meanwhile if work beyond the share is held up', () => {
      const held = times(10, { step: { ...LATE, beyondShare: true } });
      const beyond = computeWaits({ work: [...times(4), ...held], urgentCores: 900 }).get('checks');
      expect(beyond?.beyond).to.deep.equal({ onTimeMs: 2000, lateMs: 700 + 0.9 * 5000 });
    });
  });

  describe('of a team at its upper limit', () => {
    const atLimit = { barrier: 'limit', waiting: 1 } as const;

    it('is the work of the team by the cores that it uses, in the queues in which it waits', () => {
      const work = [...times(20, atLimit), ...times(30, { step: { team: 'hedges' } })];
      const { limited } = computeAll({ work });
      expect(limited.map(({ team, queue }) => [team, queue])).to.deep.equal([['lawns', 'checks']]);
      // 20 tasks of 5,000 core-milliseconds at 50 cores.
      expect(limited[0]?.waits.within).to.deep.equal({ onTimeMs: 2000, lateMs: 2000 });
    });

    it('does not concern the other teams', () => {
      expect(computeAll({ work: times(20, atLimit) }).queues.size).to.equal(0);
    });

    it('is none if nothing of the team runs that could end', () => {
      const work = times(20, { ...atLimit, step: { team: 'hedges' } });
      const { limited } = computeAll({ work, endedCores: 0 });
      expect(limited[0]?.waits.within.onTimeMs).to.equal(0);
    });
  });

  describe('in a cell with room', () => {
    it('is none if what is free holds all that waits ahead', () => {
      const free = Array.from({ length: 10 }, () => ({
        processors: 45,
        memoryMb: 1,
        accelerators: 0,
      }));
      const waits = computeWaits({ work: times(4), room: { free, busyCores: 1000 } });
      expect(waits.get('checks')?.within.onTimeMs).to.equal(0);
    });

    it('counts no room in pieces that are too small', () => {
      const free = Array.from({ length: 100 }, () => ({
        processors: 9,
        memoryMb: 1,
        accelerators: 0,
      }));
      const waits = computeWaits({ work: times(4), room: { free, busyCores: 1000 } });
      expect(waits.get('checks')?.within.onTimeMs).to.equal(200);
    });

    it('is not reported if nothing waits', () => {
      expect(computeWaits({ work: [] }).size).to.equal(0);
    });
  });

  // Guards against jobs that are accepted although the leader has no time to start them before they are useless.
  describe('in a cell with room whose leader has no time to start deferrable work', () => {
    const free = Array.from({ length: 100 }, () => ({
      processors: 64,
      memoryMb: 1,
      accelerators: 0,
    }));
    const room = { free, busyCores: 5000 };
    const work = times(100, { queue: 'patterns', barrier: 'leader', step: DEFERRABLE });

    it('is the work ahead by the rate at which runs end', () => {
      const waits = computeWaits({ work, room, endedCores: 1000 });
      expect(waits.get('patterns')?.within.onTimeMs).to.equal(5000);
    });

    it('is none for urgent work', () => {
      expect(computeWaits({ work, room }).get('checks')?.within.onTimeMs).to.equal(0);
    });
  });

  describe('behind work that takes no room', () => {
    const withoutRoom: Record<string, WorkOptions> = {
      'at its limit': { barrier: 'limit' },
      'without permits': { barrier: 'permit' },
      'that no worker can run': { barrier: 'pool' },
      'of a gang': { step: { gang: true } },
      'on labelled workers': { step: { requiredLabel: 'ssd' } },
      'that has been placed since': { waiting: 0 },
    };
    for (const [name, options] of Object.entries(withoutRoom)) {
      it(`is none: work ${name}`, () => {
        expect(computeWaits({ work: times(100, options) }).size).to.equal(0);
      });
    }

    it('is none: work with accelerators', () => {
      const size = { processors: 10, memoryMb: 0, accelerators: 1 };
      const waits = computeWaits({ work: times(100, { step: { size } }) });
      expect(waits.get('checks')?.within.onTimeMs).to.equal(0);
    });
  });

  describe('with little knowledge', () => {
    it('is not reported by a leader that has just been elected', () => {
      expect(computeWaits({ work: times(400), ageMs: 2500 }).size).to.equal(0);
    });

    it('counts the usual work where estimates are longer', () => {
      const waits = computeWaits({ work: times(40, { step: { workMs: 50_000 } }) });
      expect(waits.get('checks')?.within.onTimeMs).to.equal(2000);
    });

    it('counts half of the estimates while real durations are unknown', () => {
      const step = { objectiveAtMs: NOW_MS + 600 };
      const waits = computeWaits({ work: times(40, { step }), usual: undefined });
      expect(waits.get('checks')?.within.onTimeMs).to.equal(1000);
    });

    it('is none if no room is known to become free', () => {
      const room = { free: [], busyCores: 0 };
      const waits = computeWaits({ work: times(40), room, endedCores: 0 });
      expect(waits.get('checks')?.within.onTimeMs).to.equal(0);
    });
  });

  it('is finite, and for urgent work not shorter if more work waits', () => {
    const work = fc.array(
      fc.record({
        slack: fc.integer({ min: -5000, max: 5000 }),
        priority: fc.constantFrom(0, 1),
        beyondShare: fc.boolean(),
        waiting: fc.integer({ min: 0, max: 30 }),
      }),
      { maxLength: 30 },
    );
    const cores = fc.integer({ min: 0, max: 2000 });
    const toWork = ({ slack, priority, beyondShare, waiting }: Readonly<Record<string, unknown>>) =>
      createWork({
        waiting: waiting as number,
        step: {
          priority: priority as number,
          beyondShare: beyondShare as boolean,
          objectiveAtMs: NOW_MS + 500 + (slack as number),
          uselessAtMs: NOW_MS + 2000 + (slack as number),
        },
      });
    fc.assert(
      fc.property(work, work, cores, cores, (some, more, urgentCores, otherCores) => {
        const less = computeWaits({ work: some.map(toWork), urgentCores, otherCores });
        const all = computeWaits({ work: [...some, ...more].map(toWork), urgentCores, otherCores });
        for (const { within, beyond } of all.values()) {
          for (const wait of [within.onTimeMs, within.lateMs, beyond.onTimeMs, beyond.lateMs]) {
            expect(wait).to.be.within(0, MAX_WAIT_MS);
          }
        }
        const urgent = (waits: typeof all) => waits.get('checks')?.within.onTimeMs ?? 0;
        expect(urgent(all)).to.be.at.least(urgent(less));
      }),
    );
  });
});
