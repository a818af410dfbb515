/** Guards against a leader at its limit that starts urgent work too late because of deferrable work. */
import { expect } from 'chai';
import { createStartBudget, UNLIMITED_STARTS } from '../../src/controller/start-budget.js';
import type { StartBudget } from '../../src/controller/start-budget.js';

const TICK_MS = 10;
/** The budget sets no limit for 1.5 s, and what is queued then takes a while. */
const SETTLED_MS = 4000;

interface Load {
  /** Starts for which the leader has time in a second. */
  readonly capacity: number;
  readonly urgentPerSecond: number;
  readonly deferrablePerSecond: number;
}

interface Outcome {
  /** Longest time in milliseconds that an urgent start has waited in front of the event loop, once the budget has settled. */
  readonly urgentWaitMs: number;
  readonly deferrablePerSecond: number;
}

/** Plays a leader whose event loop handles starts in the order of their placement. */
function play(
  { capacity, urgentPerSecond, deferrablePerSecond }: Load,
  budgetOf: (leader: { now: () => number; utilization: () => number }) => StartBudget,
  seconds = 10,
): Outcome {
  let nowMs = 0;
  let busyMs = 0;
  let sinceMs = 0;
  let queued = 0;
  let waiting = 0;
  let urgentWaitMs = 0;
  let deferrable = 0;
  const budget = budgetOf({
    now: () => nowMs,
    utilization: () => {
      const share = sinceMs === 0 ? 0 : busyMs / sinceMs;
      busyMs = 0;
      sinceMs = 0;
      return share;
    },
  });
  const perTick = (perSecond: number) => (perSecond * TICK_MS) / 1000;
  while (nowMs < seconds * 1000) {
    nowMs += TICK_MS;
    sinceMs += TICK_MS;
    waiting += perTick(deferrablePerSecond);
    queued += perTick(urgentPerSecond);
    if (nowMs > SETTLED_MS) urgentWaitMs = Math.max(urgentWaitMs, (queued / capacity) * 1000);
    const started = Math.min(Math.floor(waiting), budget.left);
    budget.take(started);
    waiting -= started;
    queued += started;
    deferrable += started;
    const handled = Math.min(queued, perTick(capacity));
    queued -= handled;
    busyMs += (handled / perTick(capacity)) * TICK_MS;
  }
  return { urgentWaitMs, deferrablePerSecond: deferrable / seconds };
}

describe('the budget of starts', () => {
  describe('of a leader that has less time than its starts take', () => {
    const load = { capacity: 400, urgentPerSecond: 200, deferrablePerSecond: 300 };

    it('keeps urgent starts from waiting behind deferrable ones', () => {
      expect(play(load, () => UNLIMITED_STARTS).urgentWaitMs).to.be.greaterThan(2000);
      expect(play(load, createStartBudget).urgentWaitMs).to.be.lessThan(300);
    });

    it('leaves deferrable work most of the time that urgent work does not need', () => {
      expect(play(load, createStartBudget).deferrablePerSecond).to.be.greaterThan(120);
    });

    it('lets deferrable work go on, however much urgent work there is', () => {
      const urgent = { ...load, urgentPerSecond: 500 };
      expect(play(urgent, createStartBudget).deferrablePerSecond).to.be.greaterThan(15);
    });
  });

  describe('of a leader that has time left', () => {
    it('has no limit', () => {
      const load = { capacity: 1000, urgentPerSecond: 300, deferrablePerSecond: 400 };
      expect(play(load, createStartBudget).deferrablePerSecond).to.be.closeTo(400, 5);
    });

    it('has no limit while a new leader reads its jobs', () => {
      let nowMs = 0;
      const budget = createStartBudget({ now: () => nowMs, utilization: () => 1 });
      for (nowMs = 200; nowMs < 1400; nowMs += 200) expect(budget.left).to.equal(Infinity);
      nowMs = 1800;
      expect(budget.left).to.be.lessThan(100);
    });

    it('loses its limit after an overload', () => {
      let share = 1;
      let nowMs = 0;
      const budget = createStartBudget({ now: () => nowMs, utilization: () => share });
      const pass = (ms: number) => {
        for (const end = nowMs + ms; nowMs < end; nowMs += 100)
          budget.take(Math.min(10, budget.left));
      };
      pass(2000);
      expect(budget.left).to.be.lessThan(100);
      share = 0.3;
      pass(5000);
      expect(budget.left).to.equal(Infinity);
    });
  });
});
