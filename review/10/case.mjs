/**
 * A machine stands still while it receives a submission. The consumer leaves and cancels the job at another machine, which
 * answers 410. When the first machine wakes, it accepts the job all the same, and the job runs. With TROUBLE=0 the machine
 * doesn't stand still.
 */
/* global process, URL */
import { fileURLToPath } from 'node:url';
import { describe, newId, pause, runCase, startCell } from '../cell-2.mjs';
import { createPool } from '../worker-2.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
/** Length of `node_freeze` in the site file, and `cancel_ms` of the site. */
const FREEZE_MS = 4000;
const CANCEL_MS = 3000;
const LEAVES_AFTER_MS = 300;
const WORK_MS = 5000;

await runCase(
  fileURLToPath(new URL('record.txt', import.meta.url)),
  async ({ record, onClose }) => {
    const cell = await startCell({ record });
    onClose(cell.close);
    const pool = createPool({
      store: cell.store,
      record,
      plan: () => ({ workMs: WORK_MS, how: 'done' }),
    });
    onClose(pool.close);
    for (const id of ['w-1', 'w-2']) await pool.add({ id });
    if (!(await cell.awaitReady())) throw new Error('the cell did not become ready');
    await pause(3000);

    const leader = cell.leader();
    const [frozen, other] = cell.daemons.filter((daemon) => daemon !== leader);
    const id = newId();
    const path = `/lookups/${id}`;
    const steps = [{ count: 2, cpu: 1000, 'mem-mb': 100, 'estimate-ms': WORK_MS }];

    const frozenAt = Date.now();
    if (TROUBLE) {
      frozen.process.kill('SIGSTOP');
      record.note(`${frozen.name} stands still; ${leader.name} leads`);
    }
    await pause(100);
    // The consumer waits for a while, leaves, and cancels what it has handed in.
    const submitted = await cell.call(frozen, {
      method: 'POST',
      path,
      body: { spec: 'lookup', steps },
      timeoutMs: LEAVES_AFTER_MS,
    });
    record.note(`POST ${id} at ${frozen.name}: ${describe(submitted)}`);
    const cancelled = await cell.call(other, { method: 'DELETE', path });
    const cancelledAt = Date.now();
    record.note(`DELETE ${id} at ${other.name}: ${describe(cancelled)}`);
    if (cancelled.status !== 200 && cancelled.status !== 410)
      throw new Error('the cancelling was not acknowledged');

    await pause(Math.max(0, FREEZE_MS - (Date.now() - frozenAt)));
    if (TROUBLE) {
      frozen.process.kill('SIGCONT');
      record.note(`${frozen.name} goes on after ${String(Date.now() - frozenAt)} ms`);
    }
    await pause(9000);

    const runs = pool.runs.filter(({ task }) => task.startsWith(id));
    const late = runs.filter(({ startedAt }) => startedAt - cancelledAt > CANCEL_MS);
    for (const { task, startedAt, how } of runs) {
      record.note(
        `${task} was started ${String(startedAt - cancelledAt)} ms after the cancelling was acknowledged and ended: ${String(how)}`,
      );
    }
    record.note(`GET ${id}: ${String(await cell.state(id))}`);
    return late.length > 0;
  },
);
