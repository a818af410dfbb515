/** Guards against urgent jobs that wait for planning rounds before their permits are requested. */
import { expect } from 'chai';
import { createCell, createJobEntry } from '../../src/controller/cell.js';
import { createDispatcher } from '../../src/controller/dispatcher.js';
import type { DispatcherOptions } from '../../src/controller/dispatcher.js';
import type { PermitRequest } from '../../src/controller/permit-client.js';
import type { WorkerSession } from '../../src/controller/worker-session-types.js';
import { createProgress } from '../../src/jobs/index.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';
import { STEP } from '../jobs/support.js';
import { createWorkerEntry, eventually } from './support.js';

const WORKERS = 245;
const TIMING = { decideMs: 10, perWorkerMs: 0.1, validMs: 2500 };
const QUEUE = { name: 'quotes', service: 'rota', priority: 0, advice: TIMING };

function createEntry(id: string) {
  const progress = createProgress({
    id,
    team: 'lawns',
    queue: QUEUE.name,
    service: QUEUE.service,
    spec: '',
    steps: [STEP],
    acceptedAtMs: 0,
    acceptedBy: 'h1',
  });
  return createJobEntry({ progress, queue: undefined, beyondShare: false });
}

/** A dispatcher for 245 workers, with how often their sessions were listed and which steps were queried when. */
function createCase() {
  const sessions = Array.from({ length: WORKERS }, (_, index) => {
    const worker = createWorkerEntry(1, {
      incarnation: { id: `w${String(index)}`, born: 1 },
      room: { processors: 64, memoryMb: 64_000, accelerators: 0 },
    });
    const used = { processors: index % 60, memoryMb: 0, accelerators: 0 };
    return { incarnation: worker.incarnation, worker, used, runs: new Map() };
  }) as unknown as WorkerSession[];
  const counts = { listings: 0 };
  const byRound: string[] = [];
  const atOnce: PermitRequest[] = [];
  const cell = createCell({ now: () => 0, onStepSettled: () => undefined });
  const dispatcher = createDispatcher({
    cell,
    sessions: {
      usable: () => {
        counts.listings += 1;
        return sessions;
      },
      all: () => sessions,
      acceptsWork: () => true,
    },
    lifecycle: { registerRun: () => undefined },
    permits: {
      requestMissing: (requests: readonly PermitRequest[]) => {
        byRound.push(...requests.map(({ step }) => step));
      },
      requestFirst: (requests: readonly PermitRequest[]) => {
        atOnce.push(...requests);
      },
      isKnown: () => false,
    },
    health: { statusOf: () => 'trusted' },
    events: SILENT_EVENTS,
    meters: createMeters(),
    configuration: () => ({ queues: [QUEUE], teams: [] }),
    write: () => new Promise(() => undefined),
    renewedAt: () => undefined,
    orderWindow: { allowsPlacement: true, remainingMs: () => 1000 },
    fleetAgeMs: () => 0,
  } as unknown as DispatcherOptions);
  return { cell, dispatcher, counts, byRound, atOnce };
}

describe('a job that the leader learns of between two rounds', () => {
  it('has its permits requested at once, for workers with room, without listing all workers', async () => {
    const { cell, dispatcher, counts, byRound, atOnce } = createCase();
    cell.add(createEntry('first'));
    await eventually(() => byRound.length > 0 || undefined, 'a round');
    const { listings } = counts;
    for (let job = 0; job < 20; job += 1) {
      const entry = createEntry(`job-${String(job)}`);
      cell.add(entry);
      dispatcher.requestFirstPermits(entry);
    }
    dispatcher.stop();
    expect(atOnce.map(({ step }) => step)).to.have.length(20);
    expect(atOnce[0]?.workers.size).to.equal(WORKERS);
    expect([...(atOnce[0]?.workers.keys() ?? [])][0]).to.equal('w0');
    expect(counts.listings).to.equal(listings);
  });

  it('is left to the first round, which learns of the workers', () => {
    const { cell, dispatcher, atOnce } = createCase();
    const entry = createEntry('first');
    cell.add(entry);
    dispatcher.requestFirstPermits(entry);
    dispatcher.stop();
    expect(atOnce).to.deep.equal([]);
  });
});
