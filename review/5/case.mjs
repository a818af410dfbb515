/**
 * A job is accepted on a route with three attempts. While it runs, the operator removes the route from the config and
 * adds it again 4 s later; in between, the job's task fails once.
 */
import { eventually, runCase, route, sleep, TROUBLE } from '../harness.mjs';

const WORK_MS = 3000;
const REMOVED_MS = 4000;
const MAX_ATTEMPTS = 3;

await runCase(import.meta.url, { routes: [route('bookings'), route('seasons')] }, async (cell) => {
  const workMs = () => WORK_MS;
  // The first run fails, by its own fault or the worker's; all others succeed.
  const outcome = (task, run) => (run === 1 ? 'failed' : 'done');
  for (const id of ['w-1', 'w-2', 'w-3']) await cell.addWorker({ id, workMs, outcome });
  const [host] = cell.daemons;
  await sleep(3500);
  const steps = [{ count: 1, cpu: 2000, 'mem-mb': 4000, 'estimate-ms': WORK_MS }];
  const job = await cell.submit(host, 'seasons', { spec: 'season', steps });
  await eventually(() => cell.runs.length > 0, 'the start of the task');
  if (TROUBLE) cell.configure([route('bookings')]);
  await sleep(REMOVED_MS);
  if (TROUBLE) cell.configure([route('bookings'), route('seasons')]);
  // Longer than config-apply-ms and two more runs.
  await sleep(3 * WORK_MS);
  const state = await cell.state(host, 'seasons', job);
  const failures = cell.runs.filter(({ how }) => how === 'failed').length;
  if (state !== 'failed' || failures >= MAX_ATTEMPTS) return [];
  return [
    `LOST: job ${job} is shown as failed after ${String(failures)} failed run; max-attempts of its route is ${String(MAX_ATTEMPTS)}`,
  ];
});
