/**
 * Guards against clients that end a daemon for hosts of one's own or take its memory or descriptors, as for the daemon
 * of the platform: unfinished bodies, unread responses, silent connections at both of its ports. Its settings have no
 * memory or descriptors of the host, so the bounds are those of its default limits.
 *
 * The crowds and bounds were fixed on the code without limits; they are not to be changed.
 */
import { expect } from 'chai';
import { fetch } from 'undici';
import { stringify } from 'yaml';
import { hashSecret } from '../../src/catalogue/index.js';
import { OPERATOR_KEY, startCell, type Cell, type EntryProcess } from '../../stand-ins/cell.js';
import { eventually, expectDefined } from '../platform-path/support.js';
import {
  chunk,
  gatherCrowd,
  repeat,
  UPGRADE,
  type Crowd,
  type CrowdMember,
  type CrowdTarget,
} from './crowd.js';
import { readPeakMemoryMb, samplePeakDescriptors } from './process-usage.js';

const MEMORY_MB = 260;
const MAX_DESCRIPTORS = 1300;
const KEY = 'key-of-the-lawns-team';
const CALL_TIMEOUT_MS = 5000;
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const TINY = Buffer.from('1\r\nx\r\n'.repeat(10_000));
const CATALOGUE = stringify({
  teams: { lawns: { share: 1, limit: 400 } },
  entries: {
    lookup: {
      owner: 'lawns',
      class: 'interactive',
      idempotent: true,
      size: { processors: 1, memoryMb: 256 },
      deadlineMs: 3000,
      maxRunMs: 1000,
    },
  },
  keys: {
    submitter: { team: 'lawns', role: 'submitter', hash: hashSecret(KEY) },
    operator: { role: 'operator', hash: hashSecret(OPERATOR_KEY) },
  },
});

describe('the entry daemon with uncontrolled clients', function () {
  this.timeout(120_000);

  let cell: Cell;
  let host: EntryProcess;
  let crowd: Crowd | undefined;
  let descriptors: ReturnType<typeof samplePeakDescriptors>;

  beforeEach(async () => {
    const capacity = { processors: 8, memoryMb: 8192, accelerators: 0 };
    const worker = { id: 'dc1a', rack: 'r1', capacity, slots: 6, connections: 64 };
    cell = await startCell({
      dataCentres: [{ name: 'dc1', hosts: 1, workers: [worker] }],
      catalogue: CATALOGUE,
      nodeArgs: ['--max-old-space-size=220'],
    });
    host = expectDefined(cell.hosts[0]);
    descriptors = samplePeakDescriptors(host.pid);
  });

  afterEach(async () => {
    crowd?.close();
    crowd = undefined;
    descriptors.stop();
    await cell.stop();
  });

  async function submit(): Promise<number | undefined> {
    const answer = await fetch(`${host.url}/v1/requests`, {
      method: 'POST',
      headers: { authorization: `Bearer ${KEY}`, connection: 'close' },
      body: JSON.stringify({ entry: 'lookup', input: {} }),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    }).catch(() => undefined);
    await answer?.arrayBuffer().catch(() => undefined);
    return answer?.status;
  }

  async function withstand(url: string, count: number, member: CrowdMember) {
    crowd = await gatherCrowd(readTarget(url), count, () => member);
    await checkProcess();
    await eventually(
      async () => ((await submit()) === 200 ? true : undefined),
      'a request to be done',
    );
    await checkProcess();
  }

  async function checkProcess() {
    const memoryMb = await readPeakMemoryMb(host.pid);
    const observed = `${memoryMb.toFixed(0)} MB, ${String(descriptors.peak)} descriptors`;
    expect(memoryMb, observed).to.be.lessThan(MEMORY_MB);
    expect(descriptors.peak, observed).to.be.lessThan(MAX_DESCRIPTORS);
  }

  const head = (key: string) =>
    `POST /v1/requests HTTP/1.1\r\nHost: lawns\r\nAuthorization: Bearer ${key}\r\n`;

  it('that send chunked bodies and stop before the last chunk', async () => {
    await withstand(host.url, 400, {
      pieces: [head(KEY), CHUNKED, ...repeat(chunk(65_530), 15)],
    });
  });

  it('that send announced bodies one byte short', async () => {
    const piece = Buffer.alloc(1024 * 1024 - 1, 'x');
    await withstand(host.url, 400, {
      pieces: [head(KEY), `Content-Length: ${String(1024 * 1024)}\r\n\r\n`, piece],
    });
  });

  it('that send chunks of one byte and never finish', async () => {
    await withstand(host.url, 40, { pieces: [head(KEY), CHUNKED, ...repeat(TINY, 20)] });
  });

  it('that send bodies with a key that is not known', async () => {
    await withstand(host.url, 400, {
      pieces: [head('unknown'), CHUNKED, ...repeat(chunk(65_530), 15)],
    });
  });

  it('that pipeline requests and read no response', async () => {
    const piece = 'GET /healthz HTTP/1.1\r\nHost: lawns\r\n\r\n'.repeat(1000);
    await withstand(host.url, 60, { pieces: [...repeat(piece, 40)], reads: false });
  });

  it('that hold silent connections to the port for callers', async () => {
    await withstand(host.url, 1500, { pieces: [] });
  });

  it('that hold silent connections to the port for links', async () => {
    await withstand(host.linkUrl, 1500, { pieces: [] });
  });

  it('that ask for links without a proof and keep their connections', async () => {
    await withstand(host.linkUrl, 1500, { pieces: [UPGRADE.slice(0, -2)] });
  });
});

function readTarget(url: string): CrowdTarget {
  const { hostname, port } = new URL(url);
  return { ip: hostname, port: Number(port) };
}
