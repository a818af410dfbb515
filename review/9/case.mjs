/**
 * A worker leaves a start unanswered and carries it out 11.5 s later. Meanwhile the repeated start has run to its end, and
 * the worker has crashed and started again under its id. The task then runs a second time. With TROUBLE=0 every order is
 * answered and no worker crashes.
 */
/* global process, URL */
import { fileURLToPath } from 'node:url';
import { newId, pause, runCase, startCell } from '../cell-2.mjs';
import { createPool } from '../worker-2.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
/** fleetbench kinds, applied_late: carried out 2 to 12 s later. */
const LATE_MS = 11_500;
/** The site's largest `for_s` of a crash after which the worker comes back is 5.1 s. */
const DOWN_MS = 4500;
/** From the unanswered start to the crash: the worker is back 0.4 s before it carries the start out. */
const CRASH_AFTER_MS = LATE_MS - 400 - DOWN_MS;
const WORK_MS = 600;
/** One late order among more than twenty, as the site's share of 0.055 has it. */
const OTHER_JOBS = 24;

await runCase(
  fileURLToPath(new URL('record.txt', import.meta.url)),
  async ({ record, onClose }) => {
    const cell = await startCell({ record });
    onClose(cell.close);
    const id = newId();
    let late;
    const pool = createPool({
      store: cell.store,
      record,
      plan: () => ({ workMs: WORK_MS, how: 'done' }),
      lateMs: (worker, path, { task }) => {
        if (!TROUBLE || late !== undefined) return undefined;
        if (path !== '/run-start' || !task.startsWith(id)) return undefined;
        late = { worker, at: Date.now() };
        return LATE_MS;
      },
    });
    onClose(pool.close);
    for (const name of ['w-1', 'w-2', 'w-3']) await pool.add({ id: name });
    if (!(await cell.awaitReady())) throw new Error('the cell did not become ready');
    await pause(3000);

    const body = {
      spec: 'lookup',
      steps: [{ count: 1, cpu: 1000, 'mem-mb': 100, 'estimate-ms': WORK_MS }],
    };
    const sentAt = Date.now();
    await cell.submit(id, body);
    const others = [];
    for (let number = 0; number < OTHER_JOBS; number += 1) {
      const other = newId();
      others.push(other);
      await cell.submit(other, body, { first: number });
      await pause(150);
    }
    await pause(1000);
    const shown = await cell.state(id);
    record.note(
      `GET ${id}: ${String(shown)}, ${String(Date.now() - sentAt)} ms after it was handed in`,
    );
    if (shown !== 'completed') throw new Error('the job is not done');

    if (TROUBLE) {
      await pause(Math.max(0, late.at + CRASH_AFTER_MS - Date.now()));
      const worker = pool.workers.find((candidate) => candidate.id === late.worker);
      worker.crash();
      await pause(DOWN_MS);
      await pool.add({ id: worker.id, port: worker.port });
    }
    await pause(Math.max(0, sentAt + LATE_MS + 5000 - Date.now()));

    const runs = pool.runs.filter(({ task }) => task.startsWith(id));
    for (const { worker, run, startedAt, endedAt, how } of runs) {
      record.note(
        `run ${String(run)} of ${id} on ${worker}: from ${String(startedAt - sentAt)} to ${String((endedAt ?? Infinity) - sentAt)} ms, ${String(how)}`,
      );
    }
    const [first, ...again] = runs;
    const twice = again.filter(
      ({ startedAt }) => first.how === 'done' && startedAt > first.endedAt,
    );
    record.note(`starts of a task that had ended done, and was shown so: ${String(twice.length)}`);
    return twice.length > 0;
  },
);
