/**
 * Guards against clients that identify themselves as hosts at the port for links, which knows no secret, and then end the
 * daemon or take its memory: messages that do not end, floods whose answers are not read, and malformed messages. Each case
 * checks only that the process is alive, that memory and descriptors stay under the limits of the host, and that ordinary
 * requests are answered while the crowd is still connected.
 *
 * The crowds and bounds were fixed before the limits for such links; they are not to be changed.
 */
import { frameHead, gatherCrowd, repeat, UPGRADE, type Crowd, type CrowdMember } from './crowd.js';
import { BINARY, CLOSE, CONTINUATION, fill, frame, hello, message, PING } from './frames.js';
import { startGuardedHost, type GuardedHost } from './guarded-host.js';
import { gatherLinks } from './link-crowd.js';
import { checkProcess, PEER_PORT } from './withstanding.js';

const BOUNDS = { memoryMb: 210, maxDescriptors: 400 };
const LINKS = 100;
const PIECE_BYTES = 65_536;
/** Short time limits, so that a crowd is closed within the time of a test. */
const CLIENT_LIMITS = ['first-message-timeout-ms = 1000', 'message-timeout-ms = 3000'];
const HEAD = 'GET / HTTP/1.1\r\nHost: host-1\r\n\r\n';

describe('the port for links of the daemon with clients that claim to be hosts', function () {
  this.timeout(120_000);

  let host: GuardedHost;
  let crowd: Crowd | undefined;

  beforeEach(async () => {
    host = await startGuardedHost({ ...BOUNDS, clientLimits: CLIENT_LIMITS });
  });

  afterEach(async () => {
    crowd?.close();
    crowd = undefined;
    await host.close();
  });

  async function withstand(
    count: number,
    member: (index: number) => CrowdMember,
    gather = gatherLinks,
  ) {
    crowd = await gather({ ip: host.ip, port: PEER_PORT }, count, member);
    await checkProcess(host, BOUNDS);
    await host.awaitOrdinaryAnswer();
    await host.awaitOperatorAnswers();
    await checkProcess(host, BOUNDS);
  }

  /** Identifies each link falsely and sends the piece again and again. */
  function flood(piece: Buffer, times: number, reads = false) {
    return withstand(LINKS, () => ({ pieces: repeat(piece, times), reads }));
  }

  describe('that leave messages unfinished', () => {
    it('of the largest size, one byte short', async () => {
      const piece = Buffer.alloc(PIECE_BYTES);
      await withstand(LINKS, () => ({
        pieces: [frameHead(1024 * 1024), ...repeat(piece, 15)],
      }));
    });

    it('in fragments of one byte', async () => {
      const piece = fill(frame(CONTINUATION, Buffer.from('x'), false), PIECE_BYTES);
      await withstand(LINKS, () => ({
        pieces: [frame(BINARY, undefined, false), ...repeat(piece, 15)],
      }));
    });

    it('in fragments without bytes', async () => {
      const piece = fill(frame(CONTINUATION, undefined, false), PIECE_BYTES);
      await withstand(LINKS, () => ({
        pieces: [frame(BINARY, undefined, false), ...repeat(piece, 15)],
      }));
    });
  });

  describe('that do not read', () => {
    it('the answers to pings', async () => {
      await flood(fill(frame(PING), PIECE_BYTES), 60);
    });

    it('the answers to calls', async () => {
      const call = { kind: 'call-request', id: 1, call: { operation: 'state', job: 'x' } };
      await flood(fill(message(call), PIECE_BYTES), 30);
    });

    it('the answer to a close frame', async () => {
      await flood(fill(frame(CLOSE), PIECE_BYTES), 4);
    });

    it('the answers to requests without an upgrade', async () => {
      const piece = Buffer.from(HEAD.repeat(1000));
      await withstand(60, () => ({ pieces: repeat(piece, 40), reads: false }), gatherCrowd);
    });
  });

  describe('that send', () => {
    it('nothing', async () => {
      await withstand(300, () => ({ pieces: [] }));
    });

    it('their name again and again', async () => {
      await withstand(LINKS, (index) => ({
        pieces: repeat(fill(hello(index), PIECE_BYTES), 4),
      }));
    });

    it('offers of compression', async () => {
      const offers = Array.from(
        { length: 200 },
        () => 'permessage-deflate; client_max_window_bits',
      );
      const header = `Sec-WebSocket-Extensions: ${offers.join(', ')}\r\n\r\n`;
      const compressed = Buffer.from([0xc2, 0x80, 0, 0, 0, 0]);
      const pieces = [UPGRADE.slice(0, -2) + header, compressed];
      await withstand(LINKS, () => ({ pieces }), gatherCrowd);
    });

    it('calls without their content', async () => {
      const piece = fill(message({ kind: 'call-request', id: 1 }), 1000);
      await withstand(10, () => ({ pieces: [piece] }));
    });

    it('messages of each kind without their content', async () => {
      const kinds = ['advice-response', 'job-accepted', 'leader-changed', 'run-ended', 'none'];
      await withstand(50, (index) => ({
        pieces: [fill(message({ kind: kinds[index % kinds.length] }), 1000)],
      }));
    });
  });
});
