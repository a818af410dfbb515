import { expect } from 'chai';
import fc from 'fast-check';
import { fitsWithin, type Worker } from '../../src/model/index.js';
import { createLedger, type RunningTask } from '../../src/workers/index.js';

const worker: Worker = {
  id: 'w1',
  dataCentre: 'dc1',
  rack: 'r1',
  url: 'http://127.0.0.1:1',
  capacity: { processors: 8, memoryMb: 8192, accelerators: 2 },
  slots: 6,
  connections: 5,
  state: 'live',
};

function task(id: string, processors: number, memoryMb = 0, accelerators = 0): RunningTask {
  const size = { processors, memoryMb, accelerators };
  return { id, team: 'lawns', entry: 'e', class: 'batch', size, chargedTo: 'h1', epoch: 1 };
}

const report = (usage: [string, number][], leaving = false) => ({
  bootId: 'b1',
  usage: new Map(usage.map(([id, processors]) => [id, { ...task(id, processors).size }])),
  leaving,
});

describe('ledger', () => {
  it('never overcommits a resource, a slot or a connection, whatever tasks start and end', () => {
    const step = fc.record({
      id: fc.nat(12).map(String),
      end: fc.boolean(),
      processors: fc.double({ min: 0, max: 5, noNaN: true }),
      memoryMb: fc.integer({ min: 0, max: 4096 }),
      accelerators: fc.nat(2),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200, size: 'max' }), (steps) => {
        const ledger = createLedger({ worker });
        for (const { id, end, processors, memoryMb, accelerators } of steps) {
          if (end) ledger.release(id);
          else ledger.charge(task(id, processors, memoryMb, accelerators));
          const none = { processors: 0, memoryMb: 0, accelerators: 0 };
          expect(fitsWithin(none, ledger.free())).to.equal(true);
          expect(ledger.running().length).to.be.at.most(5);
        }
        for (const { id } of ledger.running()) ledger.release(id);
        expect(ledger.free()).to.deep.equal(worker.capacity);
      }),
      { seed: 2 },
    );
  });

  it('charges observed usage with a margin when it is ten times the declared size', () => {
    const ledger = createLedger({ worker });
    ledger.charge(task('small', 0.5));
    ledger.applyReport(report([['small', 5]]));
    expect(ledger.free().processors).to.be.closeTo(2.5, 1e-9);
    expect(ledger.charge(task('next', 3))).to.equal(false);
  });

  it('charges the declared size of a task that a late report does not list or shows as idle', () => {
    const ledger = createLedger({ worker });
    ledger.charge(task('reported', 2));
    ledger.charge(task('new', 3));
    ledger.applyReport(report([['reported', 0.1]]));
    expect(ledger.free().processors).to.equal(3);
  });

  it('charges no new task on a worker whose adopted tasks exceed its capacity', () => {
    const ledger = createLedger({ worker });
    ledger.adopt([task('a', 6), task('b', 6)]);
    expect(ledger.charge(task('c', 0.1))).to.equal(false);
    ledger.release('a');
    expect(ledger.charge(task('c', 0.1))).to.equal(true);
  });

  it('charges no task on a worker that reports itself as leaving before the host list does', () => {
    const ledger = createLedger({ worker });
    ledger.applyReport(report([], true));
    expect(ledger.charge(task('a', 1))).to.equal(false);
    expect(ledger.freeSlots()).to.equal(0);
  });

  it('does not reserve an accelerator for the margin, because accelerators are whole devices', () => {
    const ledger = createLedger({ worker });
    ledger.charge(task('a', 1, 0, 1));
    const usage = new Map([['a', { processors: 1, memoryMb: 0, accelerators: 1 }]]);
    ledger.applyReport({ bootId: 'b1', usage, leaving: false });
    expect(ledger.charge(task('b', 1, 0, 1))).to.equal(true);
  });
});
