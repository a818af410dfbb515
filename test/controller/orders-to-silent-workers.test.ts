/**
 * Guards against orders to a worker that has fallen silent while their record was being written. They extend its lease
 * after the leader may have recorded for a successor what is left of it (TWICE), and the task waits for that lease although
 * other workers could run it.
 */
import { expect } from 'chai';
import { createCell, createJobEntry } from '../../src/controller/cell.js';
import { createDispatcher } from '../../src/controller/dispatcher.js';
import type { DispatcherOptions } from '../../src/controller/dispatcher.js';
import type { Run } from '../../src/controller/run.js';
import type { WorkerSession } from '../../src/controller/worker-session-types.js';
import { createProgress } from '../../src/jobs/index.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';
import { STEP } from '../jobs/support.js';
import { createWorkerEntry, eventually } from './support.js';

const MEMBERS = 2;

interface Case {
  readonly gang: boolean;
  /** Workers that fall silent before the record is durable. */
  readonly silent: readonly string[];
}

/** Places one task on each of two workers; returns the workers that were sent orders, and those whose orders were not. */
async function order({ gang, silent }: Case) {
  const started: string[] = [];
  const withdrawn: string[] = [];
  let isSilent = false;
  let makeDurable: (durable: boolean) => void = () => undefined;
  const placed: Run[] = [];
  const sessions = ['w1', 'w2'].map((id) => {
    const worker = createWorkerEntry(1, {
      incarnation: { id, born: 1 },
      room: { processors: 1, memoryMb: 1000, accelerators: 0 },
    });
    return {
      incarnation: worker.incarnation,
      worker,
      used: { processors: 0, memoryMb: 0, accelerators: 0 },
      runs: new Map(),
      get reachable() {
        return !isSilent || !silent.includes(id);
      },
      attach: (run: Run) => placed.push(run),
      start: () => {
        started.push(id);
        return Promise.resolve();
      },
      withdraw: () => withdrawn.push(id),
    } as unknown as WorkerSession;
  });
  const cell = createCell({ now: () => 0, onStepSettled: () => undefined });
  const size = { processors: 1, memoryMb: 100, accelerators: 0 };
  const progress = createProgress({
    id: 'job',
    team: 'lawns',
    queue: 'lookup',
    service: 'rota',
    spec: '',
    steps: [{ ...STEP, gang, count: MEMBERS, size, maxPerWorker: 1 }],
    acceptedAtMs: 0,
    acceptedBy: 'h1',
  });
  cell.add(createJobEntry({ progress, queue: undefined, beyondShare: false }));
  const dispatcher = createDispatcher({
    cell,
    sessions: { usable: () => sessions, all: () => sessions, acceptsWork: () => true },
    lifecycle: { registerRun: () => undefined },
    permits: { requestMissing: () => undefined },
    health: { statusOf: () => 'trusted' },
    events: SILENT_EVENTS,
    meters: createMeters(),
    configuration: () => ({ queues: [], teams: [] }),
    write: () =>
      new Promise<boolean>((resolve) => {
        makeDurable = resolve;
      }),
    renewedAt: () => performance.now(),
    orderWindow: { allowsPlacement: true, remainingMs: () => 1000 },
    fleetAgeMs: () => 0,
  } as unknown as DispatcherOptions);
  await eventually(() => placed.length >= MEMBERS || undefined, 'placements');
  isSilent = true;
  makeDurable(true);
  await eventually(() => started.length + withdrawn.length >= MEMBERS || undefined, 'decisions');
  dispatcher.stop();
  return { started, withdrawn };
}

describe('orders whose record has become durable', () => {
  it('are not sent to a worker that has fallen silent meanwhile', async () => {
    const { started, withdrawn } = await order({ gang: false, silent: ['w1'] });
    expect(started).to.deep.equal(['w2']);
    expect(withdrawn).to.deep.equal(['w1']);
  });

  it('of a gang are withdrawn together', async () => {
    const { started, withdrawn } = await order({ gang: true, silent: ['w1'] });
    expect(started).to.deep.equal([]);
    expect(withdrawn).to.have.members(['w1', 'w2']);
  });

  it('are sent to workers that answer', async () => {
    const { started } = await order({ gang: true, silent: [] });
    expect(started).to.have.members(['w1', 'w2']);
  });
});
