/**
 * One job with many tasks is accepted; then every process that leads runs out of memory, one after the other, and no
 * accepted job is finished any more. With TROUBLE=0 the same job has few tasks.
 */
/* global process, URL */
import { fileURLToPath } from 'node:url';
import { newId, pause, runCase, startCell } from '../cell-2.mjs';
import { createPool } from '../worker-2.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
/** Both bodies have the same 240 steps, each after the one before it; they differ in `count` alone. */
const STEPS = 240;
const COUNT = TROUBLE ? 10_000 : 1;
const WATCHED_MS = 40_000;

await runCase(
  fileURLToPath(new URL('record.txt', import.meta.url)),
  async ({ record, onClose }) => {
    const cell = await startCell({ record });
    onClose(cell.close);
    const pool = createPool({
      store: cell.store,
      record,
      plan: () => ({ workMs: 300, how: 'done' }),
    });
    onClose(pool.close);
    for (const id of ['w-1', 'w-2', 'w-3', 'w-4']) await pool.add({ id });
    if (!(await cell.awaitReady())) throw new Error('the cell did not become ready');
    await pause(2000);

    const small = () => ({
      spec: 'lookup',
      steps: [{ count: 2, cpu: 1000, 'mem-mb': 100, 'estimate-ms': 300 }],
    });
    const before = newId();
    await cell.submit(before, small());
    await pause(3000);
    const stateBefore = await cell.state(before);
    record.note(`GET ${before}: ${String(stateBefore)}`);
    if (stateBefore !== 'completed') throw new Error('a small job is not done without trouble');

    const large = newId();
    const steps = Array.from({ length: STEPS }, (_, index) => ({
      count: COUNT,
      cpu: 1000,
      'mem-mb': 100,
      'estimate-ms': 300,
      ...(index === 0 ? {} : { after: [index - 1] }),
    }));
    const body = { spec: 'season', steps };
    record.note(
      `job ${large}: ${String(STEPS)} steps of ${String(COUNT)} tasks, ${String(JSON.stringify(body).length)} bytes`,
    );
    const answer = await cell.submit(large, body);
    const accepted = answer.status >= 200 && answer.status < 300;

    const others = [];
    const until = Date.now() + WATCHED_MS;
    for (let number = 0; Date.now() < until - 20_000; number += 1) {
      const id = newId();
      const { status } = await cell.submit(id, small(), { first: number, tries: 2 });
      if (status >= 200 && status < 300) others.push(id);
      await pause(1500);
    }
    await pause(Math.max(0, until - Date.now()));

    let lost = 0;
    for (const id of others) {
      const state = await cell.state(id);
      record.note(`GET ${id}: ${String(state)}`);
      if (state !== 'completed') lost += 1;
    }
    const ends = cell.daemons.map(({ exits }) => exits.filter(({ expected }) => !expected).length);
    const ran = pool.runs.filter(({ task }) => task.startsWith(large)).length;
    record.note(
      `the large job was ${accepted ? 'accepted' : 'refused'}, ${String(ran)} of its tasks were started`,
    );
    record.note(`ends of processes by themselves, by machine: ${ends.join(', ')}`);
    record.note(
      `small jobs accepted after it: ${String(others.length)}, not done: ${String(lost)}`,
    );
    // Fault: two machines at least on which processes end by themselves three times.
    const faulty = ends.filter((count) => count >= 3).length >= 2;
    return faulty || lost > 0;
  },
);
