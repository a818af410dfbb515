/**
 * Another writer leaves an entry among the workers' entries: its service is not in the config, and its address is not
 * one.
 */
import { eventually, runCase, route, sleep, TROUBLE } from '../harness.mjs';

const WORK_MS = 500;
const FINISH_MS = 14_000;
/** RULES.md, LOST: "for 3 s, a job has nothing running". */
const IDLE_MS = 3000;

await runCase(import.meta.url, { routes: [route('bookings')] }, async (cell) => {
  const [host] = cell.daemons;
  const leader = await eventually(() => cell.leader(), 'an election');
  if (TROUBLE) {
    cell.note('another writer leaves servers/metrics-agent');
    const entry = {
      service: 'metrics',
      address: '300.0.0.1:9100',
      zone: 'centro',
      version: '2',
      capacity: 0,
      state: 'ready',
      'cold-remaining-ms': 0,
      'free-capacity': { cpu: 0, 'mem-mb': 0, gpu: 0 },
      labels: [],
      born: Date.now(),
      sequence: 1,
    };
    cell.write('servers/metrics-agent', JSON.stringify(entry));
  }
  await sleep(1000);
  // A worker that joins afterwards, and sound in every respect.
  await cell.addWorker({ id: 'w-1', workMs: () => WORK_MS });
  await sleep(3500);
  const steps = [{ count: 2, cpu: 2800, 'mem-mb': 5700, 'estimate-ms': WORK_MS }];
  const job = await cell.submit(host, 'bookings', { spec: 'booking', steps });
  await sleep(FINISH_MS + IDLE_MS);
  const state = await cell.state(host, 'bookings', job);
  for (const line of leader.output.split('\n')) {
    const found = /"error":"([^\\"]*)/.exec(line);
    if (line.includes('unexpected-error')) cell.note(`${leader.name} logs: ${found?.[1] ?? line}`);
  }
  if (cell.runs.length > 0) return [];
  return [
    `LOST: job ${job} is ${String(state)} ${String(FINISH_MS + IDLE_MS)} ms after its acceptance, and nothing of it has run, while worker w-1 was idle`,
  ];
});
