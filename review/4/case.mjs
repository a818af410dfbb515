/**
 * Six jobs of 126 on a route with advice can never be done: their task is larger than any worker. The others come at
 * once and are more than the workers can do in time.
 */
import { createTickets, runCase, route, sleep, spansOf, TROUBLE } from '../harness.mjs';

const HOPELESS_JOBS = 6;
const SOUND_JOBS = 120;
const WORK_MS = 1000;
const WORKER = { cpu: 32_000, 'mem-mb': 131_072, gpu: 0 };
const FINISH_MS = 14_000;
/** RULES.md, LOST: "for 3 s, a job has nothing running". */
const IDLE_MS = 3000;
const timing = { 'decide-ms': 12, 'period-ms': 0.17, 'valid-ms': 2500 };

const lookups = route('lookups', {
  priority: 0,
  stretch: 1.5,
  'target-latency-ms': 250,
  advice: timing,
});
const tickets = createTickets();
const options = { routes: [lookups], advice: { tickets, timing } };
await runCase(import.meta.url, options, async (cell) => {
  for (const id of ['w-1', 'w-2', 'w-3']) {
    const workMs = () => WORK_MS;
    await cell.addWorker({ id, room: WORKER, workMs, isTicketValid: tickets.isValid });
  }
  const [host] = cell.daemons;
  await sleep(3500);
  const submit = (cpu) =>
    cell.submit(host, 'lookups', {
      spec: 'lookup',
      steps: [{ count: 1, cpu, 'mem-mb': 5700, 'estimate-ms': WORK_MS }],
    });
  const hopeless = TROUBLE ? 1.25 * WORKER.cpu : WORKER.cpu / 4;
  for (let number = 0; number < HOPELESS_JOBS; number += 1) await submit(hopeless);
  const sound = [];
  for (let number = 0; number < SOUND_JOBS; number += 1) sound.push(await submit(WORKER.cpu / 4));
  await sleep(FINISH_MS);
  const from = cell.now();
  await sleep(IDLE_MS);
  const until = cell.now();

  const spans = spansOf(cell.runs);
  if (spans.some(({ at, to }) => at < until && to > from)) return [];
  const unfinished = [];
  for (const id of sound) {
    if ((await cell.state(host, 'lookups', id)) !== 'completed') unfinished.push(id);
  }
  return unfinished.map(
    (id) =>
      `LOST: job ${id} isn't completed and had nothing running from ${String(from)} to ${String(until)} ms, while all three workers were idle`,
  );
});
