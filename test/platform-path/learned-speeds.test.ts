/**
 * The leader learns the speeds of workers from their reports over the platform's protocol, and a new leader starts
 * without them.
 */
import { expect } from 'chai';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import type { EventFields } from '../../src/observability/index.js';
import { awaitState, eventually, expectDefined, startTestCell, submit } from './support.js';
import type { TestCell } from './support.js';

/** The last worker is three times as fast as the others; a late timer of a busy machine changes little of that. */
const WORK_MS = [600, 600, 200];
const ESTIMATE_MS = 400;
const JOBS = 6;

describe('workers of unlike speed', () => {
  const lines: { readonly event: string; readonly fields: EventFields }[] = [];
  let cell: TestCell;

  beforeEach(async () => {
    lines.splice(0);
    const note = (event: string, fields: EventFields = {}) => {
      lines.push({ event, fields });
    };
    cell = await startTestCell({ workers: 0, hosts: 2, events: { ...SILENT_EVENTS, info: note } });
    for (const workMs of WORK_MS) await cell.addWorker({ workMs: () => workMs });
    await cell.leader();
    await eventually(() => (cell.hosts.every(({ ready }) => ready) ? true : undefined));
  });

  afterEach(async () => {
    await cell.close();
  });

  async function runJob() {
    const host = expectDefined(cell.hosts[0]);
    const steps = [{ count: 12, 'estimate-ms': ESTIMATE_MS }];
    const { id } = await submit(host, { steps });
    await awaitState(host, id, 'completed');
  }

  /** The speeds with which the latest task was placed on each worker. */
  function placedSpeeds(): number[] {
    const speeds = new Map<unknown, unknown>();
    for (const { event, fields } of lines) {
      if (event === 'task-placed') speeds.set(fields.worker, fields.speed);
    }
    return ['w-1', 'w-2', 'w-3'].map((worker) => Number(speeds.get(worker)));
  }

  it('are known to the leader after some jobs, and each end shows its work', async () => {
    await runJob();
    expect(lines.find(({ event }) => event === 'task-placed')?.fields.speed).to.equal(1);
    for (let job = 1; job < JOBS; job += 1) await runJob();
    const [first = 0, second = 0, third = 0] = placedSpeeds();
    expect(first / second).to.be.within(0.75, 1.33);
    expect(third / Math.max(first, second)).to.be.above(1.6);
    const works = lines
      .filter(({ event, fields }) => event === 'run-ended' && fields.end === 'done')
      .map(({ fields }) => Number(fields.workMs));
    expect(works.length).to.equal(JOBS * 12);
    // All tasks have the same work, which takes 600 ms on the median worker.
    const last = works.slice(-12).sort((left, right) => left - right);
    expect(last[6]).to.be.within(450, 800);
    expect(last[0]).to.be.above(250);
  });

  it('count as equal under a new leader', async () => {
    for (let job = 1; job < JOBS; job += 1) await runJob();
    cell.kill(await cell.leader());
    lines.splice(0);
    await eventually(() => lines.find(({ event }) => event === 'cell-restored'));
    await runJob();
    expect(lines.find(({ event }) => event === 'task-placed')?.fields.speed).to.equal(1);
  });
});
