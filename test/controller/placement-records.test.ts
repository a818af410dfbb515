/** What the log and the metrics say of the place and the speed of the workers that tasks get. */
import { expect } from 'chai';
import { createCell, createJobEntry } from '../../src/controller/cell.js';
import { createDispatcher } from '../../src/controller/dispatcher.js';
import type { DispatcherOptions } from '../../src/controller/dispatcher.js';
import type { Run } from '../../src/controller/run.js';
import type { WorkerSession } from '../../src/controller/worker-session-types.js';
import { createProgress } from '../../src/jobs/index.js';
import type { Step } from '../../src/jobs/index.js';
import type { EventFields } from '../../src/observability/index.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';
import { STEP } from '../jobs/support.js';
import { createWorkerEntry, eventually } from './support.js';

describe('records of placements', () => {
  /** Places the steps on one worker in rack r1; returns the log lines of the placements and the metrics. */
  async function placeOnRack1(steps: readonly Step[]) {
    const runs = new Map<string, Run>();
    const worker = createWorkerEntry(1, {
      room: { processors: 64, memoryMb: 64_000, accelerators: 0 },
    });
    const session = {
      incarnation: worker.incarnation,
      worker,
      used: { processors: 0, memoryMb: 0, accelerators: 0 },
      runs,
      attach: (run: Run) => {
        runs.set(run.name, run);
      },
    } as unknown as WorkerSession;
    const cell = createCell({ now: () => 0, onStepSettled: () => undefined });
    const progress = createProgress({
      id: 'job',
      team: 'lawns',
      queue: 'lookup',
      service: 'rota',
      spec: '',
      steps,
      acceptedAtMs: 0,
      acceptedBy: 'h1',
    });
    cell.add(createJobEntry({ progress, queue: undefined, beyondShare: false }));
    const lines: EventFields[] = [];
    const meters = createMeters();
    const dispatcher = createDispatcher({
      cell,
      sessions: { usable: () => [session], all: () => [session], acceptsWork: () => true },
      lifecycle: { registerRun: () => undefined },
      permits: { requestMissing: () => undefined },
      health: { statusOf: () => 'trusted' },
      events: {
        ...SILENT_EVENTS,
        info: (event: string, fields: EventFields) => {
          if (event === 'task-placed') lines.push(fields);
        },
      },
      meters,
      configuration: () => ({ queues: [], teams: [] }),
      write: () => new Promise(() => undefined),
      renewedAt: () => undefined,
      orderWindow: { allowsPlacement: true, remainingMs: () => 1000 },
      fleetAgeMs: () => 0,
      remoteFactor: 2,
    } as unknown as DispatcherOptions);
    const count = steps.reduce((sum, step) => sum + step.count, 0);
    await eventually(() => lines.length >= count || undefined, 'placements');
    dispatcher.stop();
    return { lines, metrics: await meters.render() };
  }

  it('tell tasks at their data rack from those away from it', async () => {
    const { lines, metrics } = await placeOnRack1([
      { ...STEP, count: 2, dataRack: 'r1' },
      { ...STEP, count: 3, dataRack: 'r2' },
    ]);
    expect(lines.map(({ place }) => place).sort()).to.deep.equal([
      ...['local', 'local'],
      ...['remote', 'remote', 'remote'],
    ]);
    expect(lines[0]).to.include({ speed: 1, heldMs: undefined });
    expect(metrics).to.include('placements_total{place="local",waited="no"} 2');
    expect(metrics).to.include('placements_total{place="remote",waited="no"} 3');
  });

  it('tell a rack-sensitive gang on one rack', async () => {
    const { lines } = await placeOnRack1([{ ...STEP, gang: true, rackSensitive: true }]);
    expect(lines.map(({ place }) => place)).to.deep.equal(['local', 'local', 'local']);
  });

  // Without this, work to which places do not matter would hide how often the others get theirs.
  it('leave out tasks whose place does not matter', async () => {
    const { lines, metrics } = await placeOnRack1([STEP]);
    expect(lines.map(({ place }) => place)).to.deep.equal([undefined, undefined, undefined]);
    expect(metrics).to.not.include('placements_total{');
  });
});
