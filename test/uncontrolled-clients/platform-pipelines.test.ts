/**
 * Guards against clients that end a host of the platform with requests that arrive together on many connections, or that
 * the server would answer by itself, and against crowds of several kinds at the same time.
 *
 * The crowds and bounds were fixed before the product was changed for them; they are not to be changed.
 */
import { API_KEY } from '../platform-path/support.js';
import { chunk, gatherCrowd, repeat, submissionHead, UPGRADE, type CrowdMember } from './crowd.js';
import { startGuardedHost, type GuardedHost } from './guarded-host.js';
import {
  BOUNDS,
  CALLER_PORT,
  CHUNKED,
  CLIENT_LIMITS,
  LONG,
  METRICS_PORT,
  PEER_PORT,
  READINESS_PORT,
  withstand,
} from './withstanding.js';

describe('a host of the platform with clients that pipeline requests', function () {
  this.timeout(120_000);

  let host: GuardedHost;

  beforeEach(async () => {
    host = await startGuardedHost({ ...BOUNDS, clientLimits: CLIENT_LIMITS });
  });

  afterEach(async () => {
    await host.close();
  });

  function gather(port: number, count: number, member: (index: number) => CrowdMember) {
    return gatherCrowd({ ip: host.ip, port }, count, member);
  }

  it('on many connections at the same moment', async () => {
    const piece = Buffer.from('GET /readyz HTTP/1.1\r\nHost: host-1\r\n\r\n'.repeat(1700));
    const member = () => ({ pieces: ['', piece], pauseMs: 1500, reads: false });
    await withstand(host, BOUNDS, [
      gather(CALLER_PORT, 300, member),
      gather(READINESS_PORT, 60, member),
      gather(METRICS_PORT, 30, member),
    ]);
  });

  it('beside crowds of other kinds', async () => {
    const large = chunk(65_530);
    const get = Buffer.from('GET /readyz HTTP/1.1\r\nHost: host-1\r\n\r\n'.repeat(1000));
    const tiny = Buffer.from('1\r\nx\r\n'.repeat(10_000));
    await withstand(host, BOUNDS, [
      gather(CALLER_PORT, 200, (index) => ({
        pieces: [submissionHead(API_KEY, index), CHUNKED, ...repeat(large, 4)],
      })),
      gather(CALLER_PORT, 40, (index) => ({
        pieces: [submissionHead(API_KEY, 1000 + index), CHUNKED, ...repeat(tiny, 20)],
      })),
      gather(CALLER_PORT, 40, (index) => ({
        pieces: [submissionHead('unknown', 2000 + index), CHUNKED, ...repeat(large, 96)],
      })),
      gather(CALLER_PORT, 100, () => ({ pieces: ['GET /', ...repeat(LONG, 16)] })),
      gather(READINESS_PORT, 60, () => ({ pieces: repeat(get, 40), reads: false })),
      gather(METRICS_PORT, 20, () => ({ pieces: repeat(get, 4), reads: false })),
      gather(PEER_PORT, 200, () => ({ pieces: [UPGRADE] })),
    ]);
  });

  for (const [name, port] of [
    ['callers', CALLER_PORT],
    ['readiness', READINESS_PORT],
  ] as const) {
    it(`to the port for ${name}, with expectations that are not known, and no response read`, async () => {
      const piece = Buffer.from('GET / HTTP/1.1\r\nHost: a\r\nExpect: x\r\n\r\n'.repeat(1700));
      await withstand(host, BOUNDS, [
        gather(port, 300, () => ({ pieces: repeat(piece, 20), reads: false })),
      ]);
    });
  }
});
