/** Guards against a loop that ends for good at its first error, and against one bad item that hides the others. */
import { expect } from 'chai';
import {
  createFaultContainment,
  createMeters,
  SILENT_EVENTS,
} from '../../src/observability/index.js';
import type { EventFields } from '../../src/observability/index.js';

function createCase() {
  const lines: [string, EventFields | undefined][] = [];
  const meters = createMeters();
  let now = 0;
  const faults = createFaultContainment({
    events: {
      ...SILENT_EVENTS,
      error: (event, fields) => {
        lines.push([event, fields]);
      },
    },
    meters,
    minPauseMs: 1,
    maxPauseMs: 4,
    monotonicNow: () => now,
  });
  return {
    ...faults,
    lines,
    meters,
    passMs: (ms: number) => {
      now += ms;
    },
  };
}

function fail(): never {
  throw new Error('unreadable');
}

describe('createFaultContainment', () => {
  describe('a loop', () => {
    it('is run again after each error until it ends by itself', async () => {
      const { keepRunning, lines, meters } = createCase();
      let runs = 0;
      await new Promise<void>((resolve) => {
        keepRunning('follow', () => {
          runs += 1;
          if (runs < 4) return Promise.reject(new Error('unreadable'));
          resolve();
          return Promise.resolve();
        });
      });
      expect(runs).to.equal(4);
      expect(lines).to.have.length(1);
      expect(lines[0]?.[0]).to.equal('loop-failed');
      expect(await meters.render()).to.include('sapphirewing_loop_failures_total{loop="follow"} 3');
    });
  });

  describe('an error in the handler of an item', () => {
    it('is counted each time and logged once in a while', async () => {
      const { contain, lines, meters, passMs } = createCase();
      for (let count = 0; count < 5; count += 1) contain('worker', { worker: 'w-1' }, fail);
      passMs(61_000);
      contain('worker', { worker: 'w-1' }, fail);
      expect(lines.map(([event]) => event)).to.deep.equal(['error-contained', 'error-contained']);
      expect(lines[0]?.[1]).to.deep.include({ source: 'worker', worker: 'w-1' });
      expect(await meters.render()).to.include(
        'sapphirewing_contained_errors_total{source="worker"} 6',
      );
    });
  });
});
