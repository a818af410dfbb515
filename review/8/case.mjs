/**
 * A worker is lost for good, its entry goes, and then the process that leads is killed. The successor starts the tasks
 * of the lost worker again only 18.8 s later. With TROUBLE=0 nothing is lost or killed.
 */
/* global process, URL */
import { fileURLToPath } from 'node:url';
import { newId, pause, runCase, startCell } from '../cell-2.mjs';
import { createPool } from '../worker-2.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const WORK_MS = 6000;
/** Bounds of the site: jobs are asked for this long after the end of the traffic. */
const FINISH_MS = 14_000;
const IDLE_MS = 3000;
/** The entry of the worker goes after three pings of silence, 4.5 s. */
const KILL_AFTER_MS = 5000;

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
    for (const id of ['w-1', 'w-2', 'w-3', 'w-4']) await pool.add({ id });
    if (!(await cell.awaitReady())) throw new Error('the cell did not become ready');
    await pause(1500);

    const id = newId();
    const steps = [{ count: 1, cpu: 1000, 'mem-mb': 100, 'estimate-ms': WORK_MS }];
    const { status } = await cell.submit(id, { spec: 'plan', steps });
    if (status !== 200) throw new Error('the job was not accepted');
    const trafficEnd = Date.now();
    await pause(1000);

    if (TROUBLE) {
      const lost = pool.workers.find(({ running }) => running.size > 0);
      if (lost === undefined) throw new Error('the task has not started');
      lost.crash();
      await pause(KILL_AFTER_MS);
      const listed = cell.store.items.get(`servers/${lost.id}`) !== undefined;
      record.note(`${lost.id} is ${listed ? 'still' : 'no longer'} listed`);
      const leader = cell.leader();
      if (leader === undefined) throw new Error('nobody leads');
      record.note(`${leader.name} leads and is killed`);
      leader.expectsExit = true;
      leader.process.kill('SIGKILL');
    }

    /** Since when no run of the job is at work; undefined while one is. */
    let idleSince;
    let longestMs = 0;
    let state;
    let brokenAt;
    while (Date.now() < trafficEnd + 35_000) {
      state = await cell.state(id);
      if (state === 'completed') break;
      const atWork = pool.runs.some(({ endedAt }) => endedAt === undefined);
      idleSince = atWork ? undefined : (idleSince ?? Date.now());
      const idleMs = idleSince === undefined ? 0 : Date.now() - idleSince;
      longestMs = Math.max(longestMs, idleMs);
      const isAskedFor = Date.now() - trafficEnd >= FINISH_MS;
      if (isAskedFor && idleMs >= IDLE_MS && brokenAt === undefined) {
        brokenAt = Date.now();
        record.note(
          `${String(brokenAt - trafficEnd)} ms after the last request the job is ${String(state)} and has had nothing running for ${String(idleMs)} ms`,
        );
      }
      await pause(100);
    }
    record.note(
      `GET ${id}: ${String(state)}, ${String(Date.now() - trafficEnd)} ms after it was accepted`,
    );
    record.note(`longest time without a run of the job: ${String(longestMs)} ms`);
    return brokenAt !== undefined || state !== 'completed';
  },
);
