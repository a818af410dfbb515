/** Guards against a leader whose memory, or the record of a job, is exhausted by tasks that need no resources. */
import { expect } from 'chai';
import { createCell, createJobEntry } from '../../src/controller/cell.js';
import { createDispatcher } from '../../src/controller/dispatcher.js';
import type { DispatcherOptions } from '../../src/controller/dispatcher.js';
import type { Run } from '../../src/controller/run.js';
import type { WorkerSession } from '../../src/controller/worker-session-types.js';
import { createProgress, MAX_OPEN_TASKS, MAX_STEP_TASKS, setPhase } from '../../src/jobs/index.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';
import { STEP } from '../jobs/support.js';
import { createWorkerEntry, eventually, expectDefined } from './support.js';

const ROUNDS = 3;

describe('tasks without resources', () => {
  it('are placed up to a bound for each job, and the others as these are done', async () => {
    const runs = new Map<string, Run>();
    const worker = createWorkerEntry(1);
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
    const step = {
      ...STEP,
      count: MAX_STEP_TASKS,
      size: { processors: 0, memoryMb: 0, accelerators: 0 },
    };
    const progress = createProgress({
      id: 'job',
      team: 'lawns',
      queue: 'lookup',
      service: 'rota',
      spec: '',
      steps: [step, step],
      acceptedAtMs: 0,
      acceptedBy: 'h1',
    });
    cell.add(createJobEntry({ progress, queue: undefined, beyondShare: false }));
    const dispatcher = createDispatcher({
      cell,
      sessions: { usable: () => [session], all: () => [session], acceptsWork: () => true },
      lifecycle: { registerRun: () => undefined },
      permits: { requestMissing: () => undefined },
      health: { statusOf: () => 'trusted' },
      events: SILENT_EVENTS,
      meters: createMeters(),
      configuration: () => ({ queues: [], teams: [] }),
      write: () => new Promise(() => undefined),
      renewedAt: () => undefined,
      orderWindow: { allowsPlacement: true, remainingMs: () => 1000 },
      fleetAgeMs: () => 0,
    } as unknown as DispatcherOptions);
    const roundsFrom = async () => {
      const { rounds } = dispatcher.effort;
      await eventually(() => dispatcher.effort.rounds >= rounds + ROUNDS || undefined, 'rounds');
    };

    await roundsFrom();
    expect(runs.size).to.equal(MAX_OPEN_TASKS);
    const done = 100;
    for (const [name, run] of [...runs].slice(0, done)) {
      setPhase(run.step, run.task, 'done');
      runs.delete(name);
    }
    await roundsFrom();
    dispatcher.stop();
    expect(runs.size).to.equal(MAX_OPEN_TASKS);
    expect(expectDefined(progress.occurrences.get(0)?.steps[0]).doneCount).to.equal(done);
  });
});
