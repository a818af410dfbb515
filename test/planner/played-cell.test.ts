/**
 * The planner over many rounds on a played cell whose workers differ in speed (0.7, 0.7 and 1.7): what knowing the speeds
 * and waiting for the data rack is worth, and that wrong knowledge costs little against none.
 */
import { expect } from 'chai';
import { playCell } from './played-cell.js';

const SPEEDS = [0.7, 0.7, 1.7];

describe('the planner on a played cell', () => {
  for (const load of [0.7, 0.93]) {
    describe(`at ${String(load * 100)} % of its capacity, with workers at 0.7, 0.7 and 1.7`, () => {
      const unaware = playCell({ load, perceive: () => 1 });
      const aware = playCell({ load });

      // Gangs on mixed sets hold fast workers until their slowest member has ended.
      it('ends gangs and urgent work sooner if it knows the speeds', () => {
        expect(aware.gang.meanMs).to.be.below(0.92 * unaware.gang.meanMs);
        expect(aware.urgent.meanMs).to.be.below(0.97 * unaware.urgent.meanMs);
        expect(aware.deferrable.meanMs).to.be.below(unaware.deferrable.meanMs);
        expect(aware.urgent.onTime).to.be.at.least(0.99);
      });

      it('loses little by wrong speeds against none', () => {
        const perceive = (_speed: number, index: number) => SPEEDS[(index + 1) % 3] ?? 1;
        const wrong = playCell({ load, perceive });
        expect(wrong.gang.meanMs).to.be.below(1.05 * unaware.gang.meanMs);
        expect(wrong.deferrable.meanMs).to.be.below(1.05 * unaware.deferrable.meanMs);
        expect(wrong.urgent.onTime).to.be.at.least(0.98);
      });
    });
  }

  describe('with data racks for half of the deferrable steps, where work away takes twice as long', () => {
    const load = 0.7;
    const atOnce = playCell({ load, rackShare: 0.5 });
    const waits = { load, rackShare: 0.5, remoteFactor: 2 };

    it('places more tasks at their rack if it waits, and ends the work sooner', () => {
      const waiting = playCell(waits);
      expect(waiting.local).to.be.above(2 * atOnce.local);
      expect(waiting.deferrable.meanMs).to.be.below(0.95 * atOnce.deferrable.meanMs);
      expect(waiting.gang.meanMs).to.be.below(atOnce.gang.meanMs);
    });

    it('loses little if the forecast promises room that does not come, or knows of none', () => {
      for (const foresee of [(nowMs: number) => nowMs + 100, () => Infinity]) {
        const misled = playCell({ ...waits, foresee });
        expect(misled.deferrable.meanMs).to.be.below(1.05 * atOnce.deferrable.meanMs);
        expect(misled.gang.meanMs).to.be.below(1.05 * atOnce.gang.meanMs);
        expect(misled.urgent.onTime).to.be.at.least(0.98);
      }
    });
  });
});
