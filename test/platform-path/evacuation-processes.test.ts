/**
 * Runs the daemon in separate processes through an evacuation whose leader is killed and replaced.
 *
 * Guards against a setting or a key that the daemon does not pass on, and against a start in the evacuated data centre
 * after a change of leader.
 */
import { execFile, spawn, type ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { Agent, request } from 'undici';
import { SETTINGS_VARIABLE } from '../../platform/settings.js';
import { pause } from '../../src/records/index.js';
import { formatHostSettings } from '../../stand-ins/platform/settings.js';
import { startStore, type StoreStandIn } from '../../stand-ins/platform/store.js';
import { startWorker, type WorkerStandIn } from '../../stand-ins/platform/worker.js';
import {
  API_KEY,
  createConfigurationJson,
  EVACUATION_PREFIX,
  eventually,
  expectDefined,
  newJobId,
} from './support.js';

const DAEMON = 'dist/platform/main.js';
const CLI = 'dist/src/bin/sapphirewing.js';
const EVACUATE_MS = 2000;
const KEY = `${EVACUATION_PREFIX}dc1`;

interface Daemon {
  readonly ip: string;
  readonly process: ChildProcess;
  readonly output: () => string;
}

describe('evacuation by daemons in separate processes', function () {
  this.timeout(60_000);

  /** Each daemon needs its own address because all serve metrics on the same port. */
  const network = `127.${String(1 + Math.floor(Math.random() * 250))}.${String(process.pid % 250)}`;
  let folder: string;
  let store: StoreStandIn;
  let inside: WorkerStandIn;
  let daemons: Daemon[];
  let agent: Agent;

  async function startDaemon(number: number): Promise<Daemon> {
    const name = `host-${String(number)}`;
    const ip = `${network}.${String(number)}`;
    const settings = join(folder, `${name}.toml`);
    const text = formatHostSettings({
      name,
      ip,
      dataCentre: 'dc1',
      storeAddress: store.address,
      evacuateMs: EVACUATE_MS,
    });
    await writeFile(settings, text);
    const child = spawn(process.execPath, [DAEMON], {
      env: { ...process.env, [SETTINGS_VARIABLE]: settings },
    });
    let output = '';
    child.stdout.on('data', (data: Buffer) => (output += data.toString()));
    child.stderr.on('data', (data: Buffer) => (output += data.toString()));
    return { ip, process: child, output: () => output };
  }

  async function call({ ip }: Daemon, method: 'GET' | 'POST', id: string, spec = '') {
    const steps = [{ count: 1, cpu: 1000, 'mem-mb': 100, 'estimate-ms': 100 }];
    const answer = await request(`http://${ip}:8080/lookups/${id}`, {
      method,
      dispatcher: agent,
      headers: { host: 'lawns.example', authorization: `Bearer ${API_KEY}` },
      body: method === 'POST' ? JSON.stringify({ spec, steps }) : null,
    });
    return { status: answer.statusCode, body: await answer.body.text() };
  }

  async function submit(daemon: Daemon, spec: string): Promise<string> {
    const id = newJobId();
    expect(await call(daemon, 'POST', id, spec)).to.include({ status: 200 });
    return id;
  }

  function awaitCompletion(daemon: Daemon, id: string): Promise<true> {
    return eventually(async () => {
      const { body } = await call(daemon, 'GET', id);
      return body.includes('"completed"') ? true : undefined;
    }, `job ${id} to be completed`);
  }

  async function isReady({ ip }: Daemon): Promise<true | undefined> {
    const url = `http://${ip}:8081/readyz`;
    const answer = await request(url, { dispatcher: agent }).catch(() => undefined);
    await answer?.body.dump();
    return answer?.statusCode === 200 ? true : undefined;
  }

  /** Returns what the command shows of the data centre. */
  async function showEvacuations() {
    const hosts = daemons.flatMap(({ ip }) => ['--host', `${ip}:9464`]);
    const args = [CLI, 'evacuations', '--json', ...hosts];
    const { stdout } = await promisify(execFile)(process.execPath, args);
    const { evacuations } = JSON.parse(stdout) as {
      evacuations: { dataCentre: string; workers: number; runs: number }[];
    };
    return evacuations.map(({ dataCentre, workers, runs }) => ({ dataCentre, workers, runs }));
  }

  const findLeader = () => daemons.find(({ output }) => output().includes('"leadership-won"'));

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'sapphirewing-evacuation-'));
    agent = new Agent();
    store = await startStore();
    const value = Buffer.from(createConfigurationJson()).toString('base64');
    store.items.apply([{ key: 'op/config', value, lease: 0 }], []);
    inside = await startWorker({ store, id: 'w-1', dataCentre: 'dc1', workMs: Number });
    daemons = await Promise.all([1, 2].map(startDaemon));
    await Promise.all(daemons.map((daemon) => eventually(() => isReady(daemon))));
    await eventually(findLeader);
  });

  afterEach(async () => {
    for (const { process: child } of daemons) child.kill('SIGKILL');
    await agent.close();
    await inside.close();
    await store.close();
    await rm(folder, { recursive: true });
  });

  it('starts nothing in the data centre, also by the next leader, until the key is removed', async () => {
    const leader = expectDefined(findLeader());
    const other = expectDefined(daemons.find((daemon) => daemon !== leader));
    const running = await submit(leader, '4000');
    await eventually(() => (inside.running.size > 0 ? true : undefined));
    store.items.apply([{ key: KEY, value: Buffer.from('{}').toString('base64'), lease: 0 }], []);
    const since = Date.now();
    await pause(500);
    const waiting = await submit(leader, '10');
    const shown = { dataCentre: 'dc1', workers: 1, runs: 1 };
    expect(await showEvacuations()).to.deep.equal([shown]);
    await eventually(() => (leader.output().includes('"evacuation-begun"') ? true : undefined));
    leader.process.kill('SIGKILL');
    await awaitCompletion(other, running);
    // Long enough for the next leader to place what waits.
    await pause(EVACUATE_MS);
    expect(await showEvacuations()).to.deep.equal([{ ...shown, runs: 0 }]);
    expect(other.output()).to.include('"evacuation-emptied"');
    const late = inside.starts.filter(({ at }) => at > since);
    expect(late).to.deep.equal([]);
    expect(inside.finished.map(({ how }) => how)).to.deep.equal(['done']);
    store.items.apply([], [KEY]);
    await awaitCompletion(other, waiting);
    expect(inside.starts.filter(({ task }) => task.startsWith(waiting))).to.have.length(1);
    expect(await showEvacuations()).to.deep.equal([]);
  });
});
