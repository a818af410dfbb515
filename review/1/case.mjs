/**
 * The zone of the leader is cut off and loses power before the cut ends. A job that ended there during the cut, and
 * whose caller was told so, runs again in another zone.
 */
import {
  CouldNotRun,
  eventually,
  runCase,
  route,
  sleep,
  startProxy,
  TROUBLE,
} from '../harness.mjs';

const CUT_MS = 5500;
/** From the beginning of the cut to the loss of power, and to its return. */
const POWER_LOST_MS = 4300;
const POWER_BACK_MS = 5300;
const WORK_MS = 3300;
const SHOWN_BEFORE_MS = 1000;
const ZONES = ['zapopan', 'tlaquepaque', 'centro'];

const step = (fields) => ({ count: 1, 'mem-mb': 500, 'estimate-ms': WORK_MS, ...fields });

const options = { routes: [route('bookings')], zones: ZONES, storeProxies: true };
await runCase(import.meta.url, options, async (cell) => {
  const leader = await eventually(() => cell.leader(), 'an election');
  const { zone } = leader;
  const at = await cell.findAddress();
  const proxy = await startProxy(at);
  const fields = {
    id: 'w-1',
    at,
    zone,
    advertise: proxy.address,
    workMs: () => WORK_MS,
  };
  const life = await cell.addWorker(fields);
  await sleep(3500);
  if (cell.leader() !== leader) throw new CouldNotRun('the leader has changed');

  const job = await cell.submit(leader, 'bookings', { spec: '', steps: [step({ cpu: 2000 })] });
  await eventually(() => cell.runs.some(({ task }) => task.startsWith(job)), 'the start');
  const cutAt = cell.now();
  const until = (ms) => sleep(Math.max(0, cutAt + ms - cell.now()));
  if (TROUBLE) {
    // The leader and w-1 still reach each other. No other host, and not the store, reaches either of them.
    cell.note(`${zone} is cut off, with ${leader.name} and w-1`);
    leader.storeProxy.cut = true;
    proxy.cutNewConnections();
  }
  let shownAt;
  await eventually(async () => {
    if ((await cell.state(leader, 'bookings', job)) !== 'completed') {
      await sleep(250);
      return false;
    }
    shownAt = cell.now();
    return true;
  }, 'the end of the job at the host in the zone');
  if (TROUBLE) {
    await until(POWER_LOST_MS);
    cell.note(`${zone} loses power`);
    await Promise.all([leader.kill('SIGKILL'), cell.crashWorker(life)]);
    await until(POWER_BACK_MS);
    leader.launch();
    const next = await cell.addWorker({ ...fields, id: 'w-2', join: false });
    await until(CUT_MS);
    cell.note('the cut ends');
    leader.storeProxy.cut = false;
    proxy.cut = false;
    next.join();
  }
  await sleep(12_000);
  await cell.state(
    cell.daemons.find((daemon) => daemon !== leader),
    'bookings',
    job,
  );
  proxy.close();
  return cell.runs
    .filter(
      ({ event, task, at: startedAt }) =>
        event === 'start' && task.startsWith(job) && startedAt > shownAt + SHOWN_BEFORE_MS,
    )
    .map(
      ({ task, run, at: startedAt }) =>
        `TWICE: ${task} run ${String(run)} started ${String(startedAt - shownAt)} ms after the job was shown as completed`,
    );
});
