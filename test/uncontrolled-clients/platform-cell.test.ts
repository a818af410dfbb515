/**
 * Guards against crowds at the host that leads, alone and while the leadership passes to another host: the other hosts
 * must live and serve, and so must the next leader, at which a crowd is connected as well.
 *
 * The crowds and bounds were fixed before the product was changed for them; they are not to be changed.
 */
import type { StoreStandIn } from '../../stand-ins/platform/store.js';
import { API_KEY, eventually } from '../platform-path/support.js';
import { chunk, gatherCrowd, repeat, submissionHead, UPGRADE, type Crowd } from './crowd.js';
import {
  drawNetwork,
  startGuardedHost,
  startStoreWithQueue,
  type GuardedHost,
} from './guarded-host.js';
import { BOUNDS, CHUNKED, checkProcess } from './withstanding.js';

const CLIENT_LIMITS = ['body-timeout-ms = 2000', 'response-timeout-ms = 2000'];
const LARGE = chunk(65_530);
const TINY = Buffer.from('1\r\nx\r\n'.repeat(10_000));
const GET = Buffer.from('GET /readyz HTTP/1.1\r\nHost: host-1\r\n\r\n'.repeat(1000));

describe('hosts of the platform with uncontrolled clients', function () {
  this.timeout(120_000);

  let store: StoreStandIn;
  let hosts: GuardedHost[];
  let crowds: Crowd[];

  beforeEach(async () => {
    crowds = [];
    store = await startStoreWithQueue();
    const network = drawNetwork();
    hosts = await Promise.all(
      [1, 2, 3].map((number) =>
        startGuardedHost({ ...BOUNDS, clientLimits: CLIENT_LIMITS, store, network, number }),
      ),
    );
  });

  afterEach(async () => {
    for (const crowd of crowds) crowd.close();
    for (const host of hosts) await host.close();
    await store.close();
  });

  const awaitLeader = (candidates: readonly GuardedHost[]) =>
    eventually(
      () => candidates.find(({ output }) => output.includes('"leadership-won"')),
      'a leader',
    );

  async function gather({ ip }: GuardedHost) {
    const callers = { ip, port: 8080 };
    crowds.push(
      ...(await Promise.all([
        gatherCrowd(callers, 200, (index) => ({
          pieces: [submissionHead(API_KEY, index), CHUNKED, ...repeat(LARGE, 4)],
        })),
        gatherCrowd(callers, 20, (index) => ({
          pieces: [submissionHead(API_KEY, index), CHUNKED, ...repeat(TINY, 20)],
        })),
        gatherCrowd({ ip, port: 8081 }, 20, () => ({ pieces: repeat(GET, 20), reads: false })),
        gatherCrowd({ ip, port: 7420 }, 100, () => ({ pieces: [UPGRADE] })),
      ])),
    );
  }

  async function checkHosts(expected: readonly GuardedHost[]) {
    for (const host of expected) {
      await host.awaitOrdinaryAnswer();
      await host.awaitOperatorAnswers();
      await checkProcess(host, BOUNDS);
    }
  }

  it('at the leader', async () => {
    await gather(await awaitLeader(hosts));
    await checkHosts(hosts);
  });

  it('at all hosts while the leader is killed', async () => {
    const leader = await awaitLeader(hosts);
    const others = hosts.filter((host) => host !== leader);
    const gathered = Promise.all(hosts.map(gather));
    await new Promise((resolve) => setTimeout(resolve, 500));
    leader.kill();
    await gathered;
    await awaitLeader(others);
    await checkHosts(others);
  });
});
