/**
 * The store turns one machine away. Meanwhile the operator takes a key away; later than all bounds, a consumer with that
 * key cancels a job at that machine and is told that it is done. With TROUBLE=0 no machine is turned away.
 */
/* global process, URL */
import { fileURLToPath } from 'node:url';
import { describe, KEY, newId, pause, runCase, startCell } from '../cell-2.mjs';
import { createPool } from '../worker-2.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const OTHER_KEY = 'second-key-of-lawns';
/** `config-apply-ms` and `max-stretch-ms` of the site. */
const BOUND_MS = 2000 + 5000;
/** Longest time for which the site's days turn machines away. */
const TURNED_AWAY_MS = 9000;
const WORK_MS = 30_000;

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
    cell.configure({ version: 2, keys: [KEY, OTHER_KEY] });
    if (!(await cell.awaitReady())) throw new Error('the cell did not become ready');
    await pause(4000);

    const leader = cell.leader();
    const away = cell.daemons.find((daemon) => daemon !== leader);
    const submit = async () => {
      const id = newId();
      const steps = [{ count: 1, cpu: 1000, 'mem-mb': 100, 'estimate-ms': WORK_MS }];
      const { status } = await cell.submit(id, { spec: 'plan', steps });
      if (status !== 200) throw new Error('the job was not accepted');
      return id;
    };
    const id = await submit();
    await pause(500);

    const startedAt = Date.now();
    if (TROUBLE) {
      away.gate.rejecting = true;
      record.note(`the store turns ${away.name} away with 503; ${leader.name} leads`);
    }
    await pause(200);
    cell.configure({ version: 3, keys: [OTHER_KEY] });
    const acknowledgedAt = Date.now();
    record.note(`the store has version 3 of the config, without the key ${KEY}`);

    await pause(BOUND_MS + 800);
    const sentAfterMs = Date.now() - acknowledgedAt;
    const other = cell.daemons.find((daemon) => daemon !== leader && daemon !== away);
    const path = `/lookups/${id}`;
    const elsewhere = await cell.call(other, { path });
    record.note(`GET ${id} with that key at ${other.name}: ${describe(elsewhere)}`);
    const read = await cell.call(away, { path });
    record.note(`GET ${id} with that key at ${away.name}: ${describe(read)}`);
    const cancelled = await cell.call(away, { method: 'DELETE', path });
    record.note(
      `DELETE ${id} with that key at ${away.name}, ${String(sentAfterMs)} ms after the acknowledgement: ${describe(cancelled)}`,
    );
    const awayMs = Date.now() - startedAt;
    if (awayMs > TURNED_AWAY_MS) throw new Error(`the calls took too long: ${String(awayMs)} ms`);
    away.gate.rejecting = false;
    record.note(`the store serves ${away.name} again after ${String(awayMs)} ms`);
    await pause(2000);
    const state = await cell.call(other, { path, key: OTHER_KEY });
    record.note(`GET ${id} with the other key of the tenant: ${describe(state)}`);
    return read.status === 200 || cancelled.status === 200;
  },
);
