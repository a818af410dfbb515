/**
 * One daemon for hosts of one's own in a process of its own with small limits, with or without TLS on its links.
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { fetch } from 'undici';
import { stringify } from 'yaml';
import { hashSecret } from '../../src/catalogue/index.js';
import { OPERATOR_KEY, startCell, type Cell, type EntryProcess } from '../../stand-ins/cell.js';
import { TEST_CERTIFICATE, TEST_KEY } from '../links/certificate.js';
import { eventually, expectDefined } from '../platform-path/support.js';
import type { CrowdTarget } from './crowd.js';
import { readPeakMemoryMb, samplePeakDescriptors } from './process-usage.js';

export const KEY = 'key-of-the-lawns-team';
const CALL_TIMEOUT_MS = 5000;
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

export interface GuardedCellOptions {
  /** The table `limits` of the settings. */
  readonly limits: object;
  readonly secure: boolean;
  readonly memoryMb: number;
  readonly maxDescriptors: number;
}

export interface GuardedCell {
  readonly callers: CrowdTarget;
  readonly links: CrowdTarget;
  /** Expects that the process stays within its bounds and that a request is done. */
  checkAnswers(): Promise<void>;
  close(): Promise<void>;
}

export async function startGuardedCell(options: GuardedCellOptions): Promise<GuardedCell> {
  const folder = await mkdtemp(join(tmpdir(), 'sapphirewing-links-'));
  const capacity = { processors: 8, memoryMb: 8192, accelerators: 0 };
  const cell: Cell = await startCell({
    dataCentres: [
      {
        name: 'dc1',
        hosts: 1,
        workers: [{ id: 'dc1a', rack: 'r1', capacity, slots: 6, connections: 64 }],
      },
    ],
    catalogue: CATALOGUE,
    settings: { limits: options.limits, links: await createLinkSettings(folder, options.secure) },
    nodeArgs: ['--max-old-space-size=220'],
  });
  const host: EntryProcess = expectDefined(cell.hosts[0]);
  const descriptors = samplePeakDescriptors(host.pid);

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

  async function checkProcess() {
    const memoryMb = await readPeakMemoryMb(host.pid);
    const observed = `${memoryMb.toFixed(0)} MB, ${String(descriptors.peak)} descriptors`;
    if (process.env.SHOW_FIGURES === '1') process.stdout.write(`        ${observed}\n`);
    expect(memoryMb, observed).to.be.lessThan(options.memoryMb);
    expect(descriptors.peak, observed).to.be.lessThan(options.maxDescriptors);
  }

  return {
    callers: readTarget(host.url),
    links: readTarget(host.linkUrl),
    checkAnswers: async () => {
      await checkProcess();
      await eventually(
        async () => ((await submit()) === 200 ? true : undefined),
        'a request to be done',
      );
      await checkProcess();
    },
    close: async () => {
      descriptors.stop();
      await cell.stop();
      await rm(folder, { recursive: true });
    },
  };
}

async function createLinkSettings(folder: string, secure: boolean): Promise<object> {
  const common = {
    address: '127.0.0.1',
    port: 0,
    secret: 'a-secret-between-the-hosts-of-the-cell',
  };
  if (!secure) return { ...common, advertise: 'ws://127.0.0.1:0' };
  const [key, cert] = [join(folder, 'key.pem'), join(folder, 'cert.pem')];
  await writeFile(key, TEST_KEY);
  await writeFile(cert, TEST_CERTIFICATE);
  return { ...common, advertise: 'wss://127.0.0.1:0', tls: { key, cert, ca: cert } };
}

function readTarget(url: string): CrowdTarget {
  const { hostname, port } = new URL(url);
  return { ip: hostname, port: Number(port) };
}
