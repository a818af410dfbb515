/**
 * Guards against clients that end a host or take all its memory or descriptors: unfinished, oversized and trickling bodies,
 * unread responses, silent connections and links that do not identify themselves. Each case checks only that the process
 * is alive, that memory and descriptors stay under the limits of the host, and that ordinary requests are answered
 * while the crowd is still connected.
 *
 * The crowds and bounds were fixed on the code without limits, on which each case failed; they are not to be changed.
 */
import { expect } from 'chai';
import { API_KEY } from '../platform-path/support.js';
import {
  chunk,
  frameHead,
  gatherCrowd,
  repeat,
  submissionHead,
  UPGRADE,
  type Crowd,
  type CrowdMember,
} from './crowd.js';
import { startGuardedHost, type GuardedHost } from './guarded-host.js';

const MEMORY_MB = 210;
const MAX_DESCRIPTORS = 400;
const CALLER_PORT = 8080;
const READINESS_PORT = 8081;
const METRICS_PORT = 9464;
const PEER_PORT = 7420;
/** Short time limits, so that a crowd is closed within the time of a test. */
const CLIENT_LIMITS = [
  'body-timeout-ms = 2000',
  'response-timeout-ms = 2000',
  'idle-timeout-ms = 4000',
  'first-message-timeout-ms = 1000',
];
const LARGE = chunk(65_536);
const TINY = Buffer.from('1\r\nx\r\n'.repeat(10_000));
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const MAX_BODY_BYTES = 262_144;
const FAR_TOO_LARGE_BYTES = 16 * 1024 * 1024;

describe('the daemon with uncontrolled clients', function () {
  this.timeout(120_000);

  let host: GuardedHost;
  let crowd: Crowd | undefined;

  beforeEach(async () => {
    host = await startGuardedHost({
      memoryMb: MEMORY_MB,
      maxDescriptors: MAX_DESCRIPTORS,
      clientLimits: CLIENT_LIMITS,
    });
  });

  afterEach(async () => {
    crowd?.close();
    crowd = undefined;
    await host.close();
  });

  async function withstand(port: number, count: number, member: (index: number) => CrowdMember) {
    crowd = await gatherCrowd({ ip: host.ip, port }, count, member);
    await checkProcess();
    await host.awaitOrdinaryAnswer();
    await host.awaitOperatorAnswers();
    await checkProcess();
  }

  async function checkProcess() {
    expect(host.isAlive(), 'the process is alive').to.equal(true);
    const memoryMb = await host.peakMemoryMb();
    const observed = `${memoryMb.toFixed(0)} MB, ${String(host.peakDescriptors)} descriptors`;
    expect(memoryMb, observed).to.be.lessThan(MEMORY_MB);
    expect(host.peakDescriptors, observed).to.be.lessThan(MAX_DESCRIPTORS);
  }

  describe('that send bodies', () => {
    it('in large chunks, far over the limit and never finished', async () => {
      await withstand(CALLER_PORT, 60, (index) => ({
        pieces: [submissionHead(API_KEY, index), CHUNKED, ...repeat(LARGE, 96)],
      }));
    });

    it('in chunks within the limit, stopped before the last one', async () => {
      await withstand(CALLER_PORT, 600, (index) => ({
        pieces: [submissionHead(API_KEY, index), CHUNKED, ...repeat(chunk(65_530), 4)],
      }));
    });

    it('in chunks of one byte, never finished', async () => {
      await withstand(CALLER_PORT, 40, (index) => ({
        pieces: [submissionHead(API_KEY, index), CHUNKED, ...repeat(TINY, 20)],
      }));
    });

    it('of an announced length far over the limit, one piece short', async () => {
      const piece = Buffer.alloc(65_536, 'x');
      await withstand(CALLER_PORT, 60, (index) => ({
        pieces: [
          submissionHead(API_KEY, index),
          `Content-Length: ${String(97 * piece.length)}\r\n\r\n`,
          ...repeat(piece, 96),
        ],
      }));
    });

    it('of an announced length within the limit, one byte short', async () => {
      const piece = Buffer.alloc(MAX_BODY_BYTES - 1, 'x');
      await withstand(CALLER_PORT, 600, (index) => ({
        pieces: [
          submissionHead(API_KEY, index),
          `Content-Length: ${String(MAX_BODY_BYTES)}\r\n\r\n`,
          piece,
        ],
      }));
    });

    it('far over the limit and complete, announced or not', async () => {
      const piece = Buffer.alloc(65_536, 'x');
      const times = FAR_TOO_LARGE_BYTES / piece.length;
      await withstand(CALLER_PORT, 40, (index) => ({
        pieces:
          index % 2 === 0
            ? [submissionHead(API_KEY, index), CHUNKED, ...repeat(LARGE, times), '0\r\n\r\n']
            : [
                submissionHead(API_KEY, index),
                `Content-Length: ${String(FAR_TOO_LARGE_BYTES)}\r\n\r\n`,
                ...repeat(piece, times),
              ],
      }));
    });

    it('with a key that is not known', async () => {
      await withstand(CALLER_PORT, 40, (index) => ({
        pieces: [submissionHead('unknown', index), CHUNKED, ...repeat(LARGE, 192)],
      }));
    });

    it('byte by byte', async () => {
      await withstand(CALLER_PORT, 500, (index) => ({
        pieces: [submissionHead(API_KEY, index), CHUNKED, ...repeat(chunk(1), 30)],
        pauseMs: 100,
      }));
    });
  });

  describe('that pipeline requests and read no response', () => {
    const pipelined = (path: string) =>
      Buffer.from(`GET ${path} HTTP/1.1\r\nHost: host-1\r\n\r\n`.repeat(1000));

    it('about readiness', async () => {
      const piece = pipelined('/readyz');
      await withstand(READINESS_PORT, 60, () => ({ pieces: repeat(piece, 40), reads: false }));
    });

    it('about metrics', async () => {
      const piece = pipelined('/metrics');
      await withstand(METRICS_PORT, 20, () => ({ pieces: repeat(piece, 4), reads: false }));
    });

    it('about jobs', async () => {
      const piece = Buffer.from(
        `GET /lookups/ HTTP/1.1\r\nHost: lawns.example\r\nAuthorization: Bearer ${API_KEY}\r\n\r\n`.repeat(
          500,
        ),
      );
      await withstand(CALLER_PORT, 60, () => ({ pieces: repeat(piece, 10), reads: false }));
    });
  });

  describe('that hold connections', () => {
    for (const [name, port] of [
      ['callers', CALLER_PORT],
      ['readiness', READINESS_PORT],
      ['metrics', METRICS_PORT],
      ['links between hosts', PEER_PORT],
    ] as const) {
      it(`to the port for ${name}, silent or with an unfinished header`, async () => {
        await withstand(port, 500, (index) => ({
          pieces: index % 2 === 0 ? [] : ['GET / HTTP/1.1\r\nHost: lawns'],
        }));
      });
    }
  });

  describe('at the port for links between hosts', () => {
    it('that never identify themselves', async () => {
      await withstand(PEER_PORT, 500, () => ({ pieces: [UPGRADE] }));
    });

    it('that announce large messages', async () => {
      const piece = Buffer.alloc(65_536);
      await withstand(PEER_PORT, 200, () => ({
        pieces: [UPGRADE, frameHead(1024 * 1024), ...repeat(piece, 15)],
      }));
    });
  });
});
