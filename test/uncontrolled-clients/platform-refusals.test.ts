/**
 * Guards against refusals for lack of room that are not true, because an earlier attempt at another host takes effect after
 * the refusal.
 */
import { expect } from 'chai';
import { request } from 'undici';
import type { StoreStandIn } from '../../stand-ins/platform/store.js';
import { API_KEY, eventually } from '../platform-path/support.js';
import {
  drawNetwork,
  startGuardedHost,
  startStoreWithQueue,
  type GuardedHost,
} from './guarded-host.js';
import { BOUNDS } from './withstanding.js';

const JOB = 'f'.repeat(16);
const LARGE = { path: `/lookups/${JOB}`, spec: 'x'.repeat(3900) };
/** The write of the first attempt takes effect this much later, when the second has been answered. */
const LATE_MS = 3000;

describe('a host of the platform without room for a body', function () {
  this.timeout(120_000);

  let store: StoreStandIn;
  const hosts: GuardedHost[] = [];

  afterEach(async () => {
    for (const host of hosts.splice(0)) await host.close();
    await store.close();
  });

  it('refuses no job whose earlier attempt at another host still takes effect', async () => {
    store = await startStoreWithQueue();
    const common = { ...BOUNDS, store, network: drawNetwork() };
    const roomy = await startGuardedHost({ ...common, clientLimits: [], number: 1 });
    hosts.push(roomy);
    const clientLimits = ['buffer-bytes = 3000'];
    const full = await startGuardedHost({ ...common, clientLimits, number: 2 });
    hosts.push(full);
    store.dropTransactionResponses(Infinity, LATE_MS);
    expect(await submit(roomy, LARGE), 'at the host with room').to.equal(504);
    const atFullHost = await submit(full, LARGE);
    store.dropTransactionResponses(0);
    await eventually(
      () => (store.items.list('', '', 500).some(({ key }) => key.includes(JOB)) ? true : undefined),
      'the first attempt to take effect',
    );
    expect(atFullHost, 'at the host without room').not.to.be.oneOf([429, 503]);
  });
});

interface Submission {
  readonly path: string;
  readonly spec?: string;
}

async function submit({ ip }: GuardedHost, { path, spec = '' }: Submission): Promise<number> {
  const step = { count: 1, cpu: 1000, 'mem-mb': 100, 'estimate-ms': 100 };
  const answer = await request(`http://${ip}:8080${path}`, {
    method: 'POST',
    headers: {
      host: 'lawns.example',
      authorization: `Bearer ${API_KEY}`,
      'x-sapphirewing-request-deadline': '1500',
    },
    body: JSON.stringify({ spec, steps: [step] }),
  });
  await answer.body.dump();
  return answer.statusCode;
}
