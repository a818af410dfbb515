/**
 * Guards against clients that take the memory or the descriptors of a host of the platform with headers that don't end,
 * expectations, upgrades, and connections that come and go.
 *
 * The crowds and bounds were fixed before the product was changed for them; they are not to be changed.
 */
import { API_KEY } from '../platform-path/support.js';
import { gatherCrowd, repeat, submissionHead, UPGRADE, type CrowdMember } from './crowd.js';
import { startGuardedHost, type GuardedHost } from './guarded-host.js';
import { gatherPassingCrowd, gatherSlowReaders } from './other-crowds.js';
import {
  BOUNDS,
  CALLER_PORT,
  CLIENT_LIMITS,
  LONG,
  MAX_BODY_BYTES,
  METRICS_PORT,
  READINESS_PORT,
  withstand,
} from './withstanding.js';

describe('a host of the platform with clients whose requests are odd', function () {
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

  describe('in their headers', () => {
    for (const [name, port] of [
      ['callers', CALLER_PORT],
      ['readiness', READINESS_PORT],
    ] as const) {
      it(`at the port for ${name}, which do not end`, async () => {
        await withstand(host, BOUNDS, [
          gather(port, 150, () => ({
            pieces: ['GET / HTTP/1.1\r\n', ...repeat('a: b\r\n', 2500)],
          })),
          gather(port, 150, () => ({ pieces: ['GET / HTTP/1.1\r\na: ', ...repeat(LONG, 16)] })),
          gather(port, 150, () => ({ pieces: ['GET /', ...repeat(LONG, 16)] })),
          gather(port, 50, () => ({
            pieces: ['GET / HTTP/1.1\r\n', ...repeat('a: b\r\n', 20)],
            pauseMs: 100,
          })),
        ]);
      });
    }

    it('which ask to continue with bodies that never come', async () => {
      const rest = `Expect: 100-continue\r\nContent-Length: ${String(MAX_BODY_BYTES)}\r\n\r\n`;
      await withstand(host, BOUNDS, [
        gather(CALLER_PORT, 600, (index) => ({ pieces: [submissionHead(API_KEY, index), rest] })),
      ]);
    });

    it('which ask for upgrades and tunnels at ports without them', async () => {
      const connects = 'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(1000);
      const crowd = (port: number) => [
        gather(port, 100, () => ({ pieces: repeat(UPGRADE.repeat(300), 20), reads: false })),
        gather(port, 100, () => ({ pieces: repeat(connects, 20), reads: false })),
      ];
      await withstand(host, BOUNDS, [...crowd(CALLER_PORT), ...crowd(READINESS_PORT)]);
    });
  });

  it('in what they read of metrics, byte by byte', async () => {
    const target = { ip: host.ip, port: METRICS_PORT };
    const piece = 'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(8);
    await withstand(host, BOUNDS, [gatherSlowReaders(target, 30, () => piece)]);
  });

  it('in that they come and go', async () => {
    await withstand(host, BOUNDS, [
      gatherPassingCrowd({ ip: host.ip, port: CALLER_PORT }, 10, 200, 'GET / HTTP/1.1\r\n\r\n'),
      gatherPassingCrowd({ ip: host.ip, port: READINESS_PORT }, 10, 100, 'GET /readyz HTTP/1.1'),
    ]);
  });
});
