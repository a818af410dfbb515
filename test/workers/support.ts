/**
 * Creates task starts, worker clients and stand-in workers for tests.
 */
import type { Worker } from '../../src/model/index.js';
import {
  createWorkerClient,
  type TaskOutcome,
  type TaskStart,
  type WorkerClient,
} from '../../src/workers/index.js';
import { callControlRoute } from '../../stand-ins/control.js';
import { startWorker } from '../../stand-ins/worker/server.js';
import { workerSpec } from '../../stand-ins/worker/spec.js';
import { waitUntil, type releaseAfterEach } from '../support.js';

const capacity = { processors: 4, memoryMb: 1024, accelerators: 1 };
export const HOUR_MS = 3_600_000;

export interface WorkerRecord {
  readonly runs: readonly { task: string; outcome: string }[];
  readonly violations: readonly { kind: string; effect: string }[];
  readonly peak: { processors: number; tasks: number };
}

export function createTaskStart(
  id: string,
  input: unknown = {},
  changes: Partial<TaskStart> = {},
): TaskStart {
  return {
    id,
    team: 'grün',
    entry: 'lookup',
    class: 'interactive',
    size: { processors: 1, memoryMb: 100, accelerators: 0 },
    chargedTo: 'h1/boot',
    epoch: 1,
    leaseMs: HOUR_MS,
    maxRunMs: HOUR_MS,
    input: Buffer.from(typeof input === 'string' ? input : JSON.stringify(input)),
    contentType: 'application/json',
    ...changes,
  };
}

export const waitUntilRunning = (client: WorkerClient, task: string) =>
  waitUntil(async () => (await client.report())._unsafeUnwrap().usage.has(task));

export const outcomeText = (outcome: TaskOutcome) =>
  'body' in outcome ? Buffer.from(outcome.body).toString() : outcome.detail;

/** Creates clients and stand-in workers that `release` closes after each test. */
export function createWorkerSupport(release: ReturnType<typeof releaseAfterEach>) {
  function openClient(url: string, options: { connections?: number; timeoutMs?: number } = {}) {
    const worker: Worker = {
      id: 'w1',
      dataCentre: 'dc1',
      rack: 'r1',
      url,
      capacity,
      slots: 8,
      connections: 64,
      state: 'live',
    };
    const client = createWorkerClient({ worker, ...options });
    release(() => client.close());
    return client;
  }

  async function startStandIn(changes: object = {}) {
    const { url, close } = await startWorker(workerSpec.parse({ id: 'w1', capacity, ...changes }));
    release(close);
    const client = openClient(url);
    (await client.raiseEpoch(1, 'h1'))._unsafeUnwrap();
    const set = (settings: object) => callControlRoute(url, 'PATCH', '/control/settings', settings);
    const record = async () =>
      (await callControlRoute(url, 'GET', '/control/record')) as WorkerRecord;
    const reboot = () => callControlRoute(url, 'POST', '/control/reboot');
    return { url, client, set, record, reboot };
  }

  return { openClient, startStandIn };
}
