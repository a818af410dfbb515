/**
 * Guards against clients that take the memory of a host of the platform with what they write between the bytes of a body, or
 * with complete bodies that are costly to check.
 *
 * The crowds and bounds were fixed before the product was changed for them; they are not to be changed.
 */
import { API_KEY } from '../platform-path/support.js';
import { gatherCrowd, repeat, submissionHead, type CrowdMember } from './crowd.js';
import { startGuardedHost, type GuardedHost } from './guarded-host.js';
import { gatherSlowReaders } from './other-crowds.js';
import { BOUNDS, CALLER_PORT, CHUNKED, CLIENT_LIMITS, LONG, withstand } from './withstanding.js';

describe('a host of the platform with clients that send odd bodies', function () {
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

  describe('in chunks', () => {
    it('with extensions and trailers that do not end', async () => {
      await withstand(host, BOUNDS, [
        gather(CALLER_PORT, 200, (index) => ({
          pieces: [submissionHead(API_KEY, index), CHUNKED, '1;', ...repeat(LONG, 16)],
        })),
        gather(CALLER_PORT, 200, (index) => ({
          pieces: [submissionHead(API_KEY, index), CHUNKED, '0\r\na: ', ...repeat(LONG, 16)],
        })),
        gather(CALLER_PORT, 200, (index) => ({
          pieces: [submissionHead(API_KEY, index), CHUNKED, '0\r\n', ...repeat('a: b\r\n', 2500)],
        })),
        gather(CALLER_PORT, 100, (index) => ({
          pieces: [
            submissionHead(API_KEY, index),
            CHUNKED,
            ...repeat(`1;${'e'.repeat(12_000)}\r\nx\r\n`, 80),
          ],
        })),
      ]);
    });

    it('of one byte, which all arrive at the same moment', async () => {
      const tiny = Buffer.from('1\r\nx\r\n'.repeat(10_900));
      await withstand(host, BOUNDS, [
        gather(CALLER_PORT, 600, (index) => ({
          pieces: [submissionHead(API_KEY, index) + CHUNKED, tiny],
        })),
      ]);
    });
  });

  describe('that are complete,', () => {
    const post = (index: number, body: string) =>
      `${submissionHead(API_KEY, index)}Content-Length: ${String(body.length)}\r\n\r\n${body}`;

    for (const [name, body] of [
      ['steps', `{"steps":[${'{},'.repeat(87_000)}{}]}`],
      ['dependencies', `{"steps":[{"count":1,"after":[${'"",'.repeat(87_000)}""]}]}`],
    ] as const) {
      it(`with many wrong ${name}, and no response read`, async () => {
        await withstand(host, BOUNDS, [
          gather(CALLER_PORT, 60, (index) => ({ pieces: [post(index, body)], reads: false })),
        ]);
      });
    }

    it('with many wrong steps, and responses read byte by byte', async () => {
      const body = `{"steps":[${'{},'.repeat(87_000)}{}]}`;
      const target = { ip: host.ip, port: CALLER_PORT };
      await withstand(host, BOUNDS, [gatherSlowReaders(target, 60, (index) => post(index, body))]);
    });

    it('that are small and pipelined, and no response read', async () => {
      const body = '{"spec":"","steps":[{"count":1,"cpu":1000,"mem-mb":100,"estimate-ms":100}]}';
      await withstand(host, BOUNDS, [
        gather(CALLER_PORT, 60, (index) => ({
          pieces: repeat(post(index, body).repeat(200), 20),
          reads: false,
        })),
      ]);
    });
  });
});
