/**
 * Guards against clients that take the memory of a host with what it renders for them.
 *
 * The crowds and bounds were fixed before the product was changed for them; they are not to be changed.
 */
import { expect } from 'chai';
import { request } from 'undici';
import type { StoreStandIn } from '../../stand-ins/platform/store.js';
import { API_KEY, eventually, expectDefined } from '../platform-path/support.js';
import { startWorker, type WorkerStandIn } from '../../stand-ins/platform/worker.js';
import { gatherCrowd, repeat } from './crowd.js';
import { startGuardedHost, startStoreWithQueue, type GuardedHost } from './guarded-host.js';
import { gatherSlowReaders } from './other-crowds.js';
import { BOUNDS, METRICS_PORT, withstand } from './withstanding.js';

const CLIENT_LIMITS = ['response-timeout-ms = 2000', 'idle-timeout-ms = 4000'];
/** After a job in each of them, the metrics have about 2 MB, more than the kernel takes for 8 responses. */
const QUEUES = Array.from({ length: 400 }, (_, index) => ({
  name: index === 0 ? 'lookups' : `lookups-${'of-the-day-'.repeat(22)}${String(index)}`,
  priority: 0,
}));

describe('a host of the platform', function () {
  this.timeout(120_000);

  let store: StoreStandIn;
  let worker: WorkerStandIn | undefined;
  const hosts: GuardedHost[] = [];

  afterEach(async () => {
    for (const host of hosts.splice(0)) await host.close();
    await worker?.close();
    worker = undefined;
    await store.close();
  });

  describe('with many queues and clients that read no metrics', () => {
    const get = 'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n';

    async function start() {
      store = await startStoreWithQueue({ queues: QUEUES });
      const host = await startGuardedHost({ ...BOUNDS, clientLimits: CLIENT_LIMITS, store });
      hosts.push(host);
      worker = await startWorker({ store, id: 'w-1', workMs: () => 1 });
      for (const [index, { name }] of QUEUES.entries()) {
        const id = (0xa000 + index).toString(16).padStart(16, '0');
        expect(await submit(host, `/${name}/${id}`)).to.equal(200);
      }
      await eventually(
        () => (expectDefined(worker).finished.length >= QUEUES.length ? true : undefined),
        'a job of each queue to end',
      );
      return host;
    }

    it('and pipeline requests', async () => {
      const host = await start();
      const target = { ip: host.ip, port: METRICS_PORT };
      await withstand(host, BOUNDS, [
        gatherCrowd(target, 60, () => ({ pieces: repeat(get.repeat(8), 1), reads: false })),
      ]);
    });

    it('and read byte by byte', async () => {
      const host = await start();
      const target = { ip: host.ip, port: METRICS_PORT };
      await withstand(host, BOUNDS, [gatherSlowReaders(target, 60, () => get.repeat(8))]);
    });
  });
});

async function submit({ ip }: GuardedHost, path: string): Promise<number> {
  const step = { count: 1, cpu: 1000, 'mem-mb': 100, 'estimate-ms': 100 };
  const answer = await request(`http://${ip}:8080${path}`, {
    method: 'POST',
    headers: {
      host: 'lawns.example',
      authorization: `Bearer ${API_KEY}`,
      'x-sapphirewing-request-deadline': '1500',
    },
    body: JSON.stringify({ spec: '', steps: [step] }),
  });
  await answer.body.dump();
  return answer.statusCode;
}
