/**
 * One daemon in a process of its own with small limits, and its memory and descriptors as the kernel counts them.
 */
import { spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Agent, request } from 'undici';
import { SETTINGS_VARIABLE } from '../../platform/settings.js';
import { formatHostSettings } from '../../stand-ins/platform/settings.js';
import { startStore, type StoreStandIn } from '../../stand-ins/platform/store.js';
import {
  API_KEY,
  createConfigurationJson,
  eventually,
  expectDefined,
  newJobId,
  type ConfigurationOptions,
} from '../platform-path/support.js';
import { readPeakMemoryMb, samplePeakDescriptors } from './process-usage.js';

const DAEMON = 'dist/platform/main.js';
const CALL_TIMEOUT_MS = 5000;

export interface GuardedHostOptions {
  readonly memoryMb: number;
  readonly maxDescriptors: number;
  /** Lines of the table `client-limits` of the settings file. */
  readonly clientLimits: readonly string[];
  /** Store of several hosts; by default, the host has one of its own. */
  readonly store?: StoreStandIn;
  /** Loopback network of several hosts, and the number of this one in it. */
  readonly network?: string;
  readonly number?: number;
}

export interface GuardedHost {
  readonly ip: string;
  isAlive(): boolean;
  /** The most memory that was resident so far, in megabytes. */
  peakMemoryMb(): Promise<number>;
  /** The most descriptors that were open so far. */
  readonly peakDescriptors: number;
  readonly output: string;
  /** Ends the process at once. */
  kill(): void;
  /** Submits a job as an ordinary caller, again and again until it is accepted or a timeout. */
  awaitOrdinaryAnswer(): Promise<true>;
  /** Asks for readiness and metrics until both are answered or a timeout. */
  awaitOperatorAnswers(): Promise<true>;
  close(): Promise<void>;
}

export async function startGuardedHost(options: GuardedHostOptions): Promise<GuardedHost> {
  const folder = await mkdtemp(join(tmpdir(), 'sapphirewing-clients-'));
  const store = options.store ?? (await startStoreWithQueue());
  const { network = drawNetwork(), number = 1 } = options;
  const ip = `${network}.${String(number)}`;
  const settings = join(folder, 'host.toml');
  await writeFile(settings, formatSettings(ip, store.address, options));
  const child = spawn(process.execPath, ['--max-old-space-size=220', DAEMON], {
    env: { ...process.env, [SETTINGS_VARIABLE]: settings },
  });
  const pid = expectDefined(child.pid);
  let output = '';
  child.stdout.on('data', (data: Buffer) => (output += data.toString()));
  child.stderr.on('data', (data: Buffer) => (output += data.toString()));
  const descriptors = samplePeakDescriptors(pid);
  const agent = new Agent({ headersTimeout: CALL_TIMEOUT_MS, bodyTimeout: CALL_TIMEOUT_MS });

  async function get(url: string): Promise<number | undefined> {
    const answer = await request(url, { dispatcher: agent, reset: true }).catch(() => undefined);
    await answer?.body.dump().catch(() => undefined);
    return answer?.statusCode;
  }

  async function submit(): Promise<number | undefined> {
    const step = { count: 1, cpu: 1000, 'mem-mb': 100, 'estimate-ms': 100 };
    const answer = await request(`http://${ip}:8080/lookups/${newJobId()}`, {
      method: 'POST',
      dispatcher: agent,
      reset: true,
      headers: { host: 'lawns.example', authorization: `Bearer ${API_KEY}` },
      body: JSON.stringify({ spec: '', steps: [step] }),
    }).catch(() => undefined);
    await answer?.body.dump().catch(() => undefined);
    return answer?.statusCode;
  }

  const host: GuardedHost = {
    ip,
    isAlive: () => child.exitCode === null && child.signalCode === null,
    peakMemoryMb: () => readPeakMemoryMb(pid),
    get peakDescriptors() {
      return descriptors.peak;
    },
    get output() {
      return output;
    },
    kill: () => {
      child.kill('SIGKILL');
    },
    awaitOrdinaryAnswer: () =>
      eventually(
        async () => ((await submit()) === 200 ? true : undefined),
        'a submission to be accepted',
      ),
    awaitOperatorAnswers: () =>
      eventually(async () => {
        const ready = await get(`http://${ip}:8081/readyz`);
        const metrics = await get(`http://${ip}:9464/metrics`);
        return ready === 200 && metrics === 200 ? true : undefined;
      }, 'readiness and metrics to be answered'),
    close: async () => {
      descriptors.stop();
      child.kill('SIGKILL');
      await agent.destroy();
      if (options.store === undefined) await store.close();
      await rm(folder, { recursive: true });
    },
  };
  await host.awaitOperatorAnswers();
  await host.awaitOrdinaryAnswer();
  return host;
}

/** Returns a loopback network of its own: all hosts serve metrics on the same port. */
export function drawNetwork(): string {
  return `127.${String(1 + Math.floor(Math.random() * 250))}.${String(process.pid % 250)}`;
}

export async function startStoreWithQueue(
  configuration: ConfigurationOptions = {},
): Promise<StoreStandIn> {
  const store = await startStore();
  const value = Buffer.from(createConfigurationJson(configuration)).toString('base64');
  store.items.apply([{ key: 'op/config', value, lease: 0 }], []);
  return store;
}

function formatSettings(ip: string, storeAddress: string, options: GuardedHostOptions): string {
  return [
    formatHostSettings({
      name: `host-${String(options.number ?? 1)}`,
      ip,
      dataCentre: 'centro',
      storeAddress,
    }),
    '[limits]',
    `memory-mb = ${String(options.memoryMb)}`,
    `max-fds = ${String(options.maxDescriptors)}`,
    '[client-limits]',
    ...options.clientLimits,
  ].join('\n');
}
