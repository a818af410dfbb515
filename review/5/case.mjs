/**
 * The operator lowers a tenant's cap. A gang job that needs exactly the cap comes when nothing of the tenant runs.
 */
import { createGangs, eventually, runCase, route, sleep, spansOf, TROUBLE } from '../harness.mjs';

/** Cores of the jobs before, in thousandths: the sizes of ordinary work, in tenths of a core. */
const SIZES = [3600, 2500, 2900, 2700, 3800, 2500, 3600, 4300, 3100, 2600, 1700, 1500];
const CAP_BEFORE = 60_000;
const CAP_AFTER = 24_000;
const GANG_SIZE = 4;
const FIRST_END_MS = 1500;
/** The jobs end in the order in which they came. */
const BETWEEN_ENDS_MS = 150;
const FINISH_MS = 14_000;
/** RULES.md, LOST: "for 3 s, a job has nothing running". */
const IDLE_MS = 3000;

const options = { routes: [route('planning')], cap: { cpu: CAP_BEFORE } };
await runCase(import.meta.url, options, async (cell) => {
  const gangs = createGangs({ sizeOf: (spec) => (spec === 'gang' ? GANG_SIZE : 1) });
  const workMs = (spec) => (spec === 'gang' ? 1000 : Number(spec));
  for (const id of ['w-1', 'w-2', 'w-3']) await cell.addWorker({ id, gangs, workMs });
  const [host] = cell.daemons;
  await sleep(3500);
  const jobs = [];
  for (const [index, cpu] of SIZES.entries()) {
    const spec = String(FIRST_END_MS + index * BETWEEN_ENDS_MS);
    const steps = [{ count: 1, cpu, 'mem-mb': 500, 'estimate-ms': Number(spec) }];
    jobs.push(await cell.submit(host, 'planning', { spec, steps }));
  }
  await eventually(async () => {
    const states = await Promise.all(jobs.map((id) => cell.state(host, 'planning', id)));
    if (states.every((state) => state === 'completed')) return true;
    await sleep(500);
    return false;
  }, 'the end of the jobs before');
  if (TROUBLE) cell.configure([route('planning')], { cpu: CAP_AFTER });
  await sleep(3000);

  const cpu = CAP_AFTER / GANG_SIZE;
  const gang = { count: GANG_SIZE, cpu, 'mem-mb': 500, 'estimate-ms': 1000, gang: true };
  const job = await cell.submit(host, 'planning', { spec: 'gang', steps: [gang] });
  await sleep(FINISH_MS + IDLE_MS);
  const state = await cell.state(host, 'planning', job);
  const spans = spansOf(cell.runs.filter(({ task }) => task.startsWith(job)));
  if (state === 'completed' || spans.length > 0) return [];
  return [
    `LOST: gang job ${job} is ${String(state)} ${String(FINISH_MS + IDLE_MS)} ms after its acceptance, and nothing of it has run, while its tenant ran nothing and all three workers were idle`,
  ];
});
