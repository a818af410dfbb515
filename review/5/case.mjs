/**
 * Two hopeless gang jobs among forty-one gang jobs. The last, sound one is submitted after they have failed.
 */
import { createGangs, eventually, runCase, route, sleep, spansOf, TROUBLE } from '../harness.mjs';

const SOUND_JOBS = 38;
const HOPELESS_JOBS = 2;
const GANG_SIZE = 3;
const WORK_MS = 800;
const FINISH_MS = 14_000;
/** RULES.md, LOST: "for 3 s, a job has nothing running". */
const IDLE_MS = 3000;
const GAP_MS = 20;

const isFinal = (state) => state === 'completed' || state === 'failed';

await runCase(import.meta.url, { routes: [route('seasons')] }, async (cell) => {
  const gangs = createGangs({ sizeOf: () => GANG_SIZE });
  // In a hopeless job the first task fails in each run; the others then end as broken.
  const outcome = (task, run, spec) =>
    spec === 'hopeless' && task.endsWith('.0') ? 'failed' : 'done';
  const workMs = (spec, task) =>
    spec === 'hopeless' && !task.endsWith('.0') ? 2 * WORK_MS : WORK_MS;
  for (const id of ['w-1', 'w-2', 'w-3']) await cell.addWorker({ id, gangs, workMs, outcome });
  const [host] = cell.daemons;
  await sleep(3500);
  const gang = { count: GANG_SIZE, cpu: 2000, 'mem-mb': 4000, 'estimate-ms': WORK_MS, gang: true };
  const submit = async (spec, count) => {
    const ids = [];
    for (let number = 0; number < count; number += 1) {
      ids.push(await cell.submit(host, 'seasons', { spec, steps: [gang] }));
      await sleep(GAP_MS);
    }
    await eventually(async () => {
      const states = await Promise.all(ids.map((id) => cell.state(host, 'seasons', id)));
      if (states.every(isFinal)) return true;
      await sleep(500);
      return false;
    }, `the end of the ${spec} jobs`);
  };
  await submit('sound', SOUND_JOBS);
  await submit(TROUBLE ? 'hopeless' : 'sound', HOPELESS_JOBS);
  await sleep(2000);

  const last = await cell.submit(host, 'seasons', { spec: 'sound', steps: [gang] });
  await sleep(FINISH_MS + IDLE_MS);
  const state = await cell.state(host, 'seasons', last);
  const spans = spansOf(cell.runs.filter(({ task }) => task.startsWith(last)));
  if (state === 'completed' || spans.length > 0) return [];
  return [
    `LOST: gang job ${last} is ${String(state)} ${String(FINISH_MS + IDLE_MS)} ms after its acceptance, and nothing of it has run, while all three workers were idle`,
  ];
});
