/**
 * One job of twenty takes twenty times as long as estimated. Its workers are sound and report its progress in whole
 * percents.
 */
import { eventually, runCase, route, sleep, spansOf, TROUBLE } from '../harness.mjs';

const JOBS = 20;
const ESTIMATE_MS = 6200;
const LONG_FACTOR = 20;
const FINISH_MS = 14_000;
/** RULES.md, LOST: "for 3 s, a job has nothing running". */
const IDLE_MS = 3000;
const PLAYED_MS = 75_000;

await runCase(import.meta.url, { routes: [route('planning')] }, async (cell) => {
  const workMs = (spec) => (spec === 'long' ? LONG_FACTOR * ESTIMATE_MS : ESTIMATE_MS);
  for (const id of ['w-1', 'w-2', 'w-3']) await cell.addWorker({ id, workMs });
  const [host] = cell.daemons;
  await sleep(3500);
  const steps = [{ count: 1, cpu: 2000, 'mem-mb': 4000, 'estimate-ms': ESTIMATE_MS }];
  const jobs = [];
  for (let number = 1; number <= JOBS; number += 1) {
    const spec = TROUBLE && number === JOBS ? 'long' : 'usual';
    jobs.push(await cell.submit(host, 'planning', { spec, steps }));
  }
  const submittedAt = cell.now();
  const usual = TROUBLE ? jobs.slice(0, -1) : jobs;
  await eventually(
    async () => {
      const states = await Promise.all(usual.map((id) => cell.state(host, 'planning', id)));
      if (states.every((state) => state === 'completed')) return true;
      await sleep(1000);
      return false;
    },
    'the end of the usual jobs',
    30_000,
  );
  const othersEndedAt = cell.now();
  const long = jobs.at(-1);
  if (TROUBLE) await sleep(PLAYED_MS - (othersEndedAt - submittedAt));
  const state = await cell.state(host, 'planning', long);
  if (state === 'completed') return [];
  const endsAt = cell.now();

  // The long job's one task is the only work by now, so all room is free whenever it does not run.
  const spans = spansOf(cell.runs.filter(({ task }) => task.startsWith(long)));
  const findings = [];
  let idleFrom = Math.max(submittedAt + FINISH_MS, othersEndedAt);
  for (const { at, to } of [...spans, { at: endsAt, to: endsAt }]) {
    if (at - idleFrom >= IDLE_MS) {
      findings.push(
        `LOST: job ${long} had nothing running from ${String(idleFrom)} to ${String(at)} ms, while all three workers were idle`,
      );
    }
    idleFrom = Math.max(idleFrom, to);
  }
  const workedMs = spans.map(({ at, to }) => Math.min(to, endsAt) - at);
  cell.note(`the long job is ${String(state)}; its runs worked for ${workedMs.join(', ')} ms`);
  return findings;
});
