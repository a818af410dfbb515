/**
 * A small cell for the scripts of cases 6 to 10: daemons of the deploy file as processes on loopback addresses, the
 * project's stand-in of the store, workers of `worker-2.mjs`, a caller and a record of what was sent, answered and run.
 */
/* global process, console, setTimeout, clearTimeout, Buffer */
import { spawn } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, createServer, request } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { startStore } from '../dist/stand-ins/platform/store.js';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');
export const KEY = 'key-of-lawns';
export const HOST = 'lawns.example';
/** The platform restarts a process that has ended after a short delay. */
const RESTART_MS = 500;

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const newId = () => randomBytes(8).toString('hex');

export function createRecord(path) {
  const startedAt = Date.now();
  const lines = [];
  return {
    elapsedMs: () => Date.now() - startedAt,
    note: (text) => {
      const line = `${((Date.now() - startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}`;
      lines.push(line);
      console.log(line);
    },
    save: () => {
      writeFileSync(path, `${lines.join('\n')}\n`);
    },
  };
}

/** Settings with the fields of DEPLOY.md and the figures of canchas-gdl. */
function formatSettings({ name, ip, zone, storeAddress, seeds }) {
  return `
node-name = "${name}"
role = "host"
machine-class = "frontend"
serves = ["frontend"]
ip = "${ip}"
zone = "${zone}"
region = "jalisco"
port-range = [7420, 7435]
seeds = [${seeds.map((seed) => `"${seed}"`).join(', ')}]
bootstrap = true
in-tolerance = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "platform", "advice", "upkeep", "sharing"]
orders = "rpc"
advice = ""
[zones]
zapopan = "jalisco"
tlaquepaque = "jalisco"
centro = "jalisco"
[listen-addresses]
frontend = "${ip}:8183"
readiness = "${ip}:8184"
control-plane = "${ip}:8180"
[limits]
cpu-share = 0.675
cores = 1
memory-mb = 350
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
stable-window-ms = 3000
ack-timeout-ms = 4000
drain-ms = 2000
grace-s = 6
config-apply-ms = 2000
hold-max-ms = 10000
stop-timeout-ms = 900
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
fencing-enabled = false
lease-ms = 3000
[platform]
address = "${storeAddress}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
`;
}

export function formatConfiguration({ version = 1, cap = {}, keys = [KEY] } = {}) {
  return JSON.stringify({
    version,
    routes: [
      {
        name: 'lookups',
        host: HOST,
        prefix: '/lookups/',
        service: 'rota',
        priority: 0,
        'max-attempts': 3,
        stretch: 2,
        'target-latency-ms': 500,
      },
    ],
    services: [{ name: 'rota', 'admission-control': false }],
    limits: { 'max-body-bytes': 262144, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 },
    tenants: [
      {
        name: 'lawns',
        'api-keys': keys,
        weight: 50,
        cap: { cpu: 0, 'mem-mb': 0, gpu: 0, ...cap },
      },
    ],
  });
}

/**
 * The way of one machine to the store. While `rejecting` is set, the store turns this machine away with 503, also on calls
 * that are waiting. While `losing` is set, every third transaction gets no answer and is carried out 3 to 6 s later, if its
 * conditions still hold.
 */
async function startGate(storeAddress) {
  const [host, port] = storeAddress.split(':');
  const agent = new Agent({ keepAlive: true });
  const gate = {
    address: '',
    rejecting: false,
    losing: false,
    seen: 0,
    lost: 0,
    close: () => undefined,
  };
  const server = createServer({ keepAliveTimeout: 60_000 }, (incoming, outgoing) => {
    const reject = () => {
      outgoing.writeHead(503, { 'content-type': 'application/json' });
      outgoing.end('{}');
    };
    const chunks = [];
    incoming.on('data', (chunk) => chunks.push(chunk));
    incoming.on('end', () => {
      if (gate.rejecting) {
        reject();
        return;
      }
      const { method, url: path, headers } = incoming;
      if (path === '/kv-txn' && gate.losing) gate.seen += 1;
      if (path === '/kv-txn' && gate.losing && gate.seen % 3 === 0) {
        gate.lost += 1;
        setTimeout(
          () => {
            const late = request({ host, port, method, path, headers, agent }, (response) => {
              response.resume();
            });
            late.on('error', () => undefined);
            late.end(Buffer.concat(chunks));
          },
          6000 - 1500 * (gate.lost % 3),
        );
        return;
      }
      const forwarded = request({ host, port, method, path, headers, agent }, (response) => {
        const parts = [];
        response.on('data', (part) => parts.push(part));
        response.on('end', () => {
          if (outgoing.destroyed) return;
          if (gate.rejecting && method === 'GET') {
            reject();
            return;
          }
          outgoing.writeHead(response.statusCode ?? 500, response.headers);
          outgoing.end(Buffer.concat(parts));
        });
      });
      forwarded.on('error', () => outgoing.destroy());
      outgoing.on('close', () => {
        if (!outgoing.writableEnded) forwarded.destroy();
      });
      forwarded.end(Buffer.concat(chunks));
    });
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  gate.address = `127.0.0.1:${String(server.address().port)}`;
  gate.close = () => {
    server.close();
    server.closeAllConnections();
    agent.destroy();
  };
  return gate;
}

export async function startCell({ record, hosts = 3 }) {
  const folder = mkdtempSync(join(tmpdir(), 'review-2-'));
  const network = `127.${String(10 + Math.floor(Math.random() * 200))}.${String(process.pid % 250)}`;
  const store = await startStore();
  const agent = new Agent({ keepAlive: false });
  const zones = ['zapopan', 'tlaquepaque', 'centro'];
  const daemons = [];
  let closing = false;

  function configure(options) {
    const value = Buffer.from(formatConfiguration(options)).toString('base64');
    store.items.apply([{ key: 'op/config', value, lease: 0 }], []);
  }

  function launch(daemon) {
    daemon.lives += 1;
    const child = spawn(process.execPath, ['--max-old-space-size=220', 'target/host.mjs'], {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH ?? '',
        HOME: process.env.HOME ?? '/',
        SAPPHIREWING_BOOT: daemon.settings,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    daemon.process = child;
    daemon.running = true;
    let rest = '';
    child.stdout.on('data', (data) => {
      const parts = (rest + data.toString()).split('\n');
      rest = parts.pop() ?? '';
      for (const part of parts) if (part !== '') handleLine(daemon, part);
    });
    child.stderr.on('data', (data) => {
      daemon.errors.push(data.toString());
    });
    child.on('exit', (code, signal) => {
      daemon.running = false;
      if (closing) return;
      daemon.exits.push({ code, signal, expected: daemon.expectsExit });
      const last = daemon.errors.join('').match(/FATAL ERROR: [^\n]*/)?.[0] ?? '';
      record.note(
        `${daemon.name} ended: code ${String(code)}, signal ${String(signal)}${daemon.expectsExit ? ' (sent by this script)' : ' BY ITSELF'} ${last}`,
      );
      daemon.expectsExit = false;
      daemon.errors.length = 0;
      if (daemon.stays) return;
      setTimeout(() => {
        if (!closing) launch(daemon);
      }, RESTART_MS);
    });
  }

  function handleLine(daemon, line) {
    let event;
    try {
      event = JSON.parse(line);
    } catch {
      return;
    }
    daemon.log.push(event);
    if (event.event === 'leadership-won') {
      daemon.wonAt = Date.now();
      record.note(`${daemon.name} leads, epoch ${String(event.epoch)} (its log)`);
    }
    for (const listener of daemon.listeners) listener(event);
  }

  configure();
  for (let number = 1; number <= hosts; number += 1) {
    const name = `host-${String(number)}`;
    const ip = `${network}.${String(number)}`;
    const settings = join(folder, `${name}.toml`);
    const gate = await startGate(store.address);
    writeFileSync(
      settings,
      formatSettings({
        name,
        ip,
        zone: zones[(number - 1) % zones.length],
        storeAddress: gate.address,
        seeds: [`${network}.1:8180`],
      }),
    );
    const daemon = {
      name,
      ip,
      settings,
      gate,
      lives: 0,
      running: false,
      stays: false,
      expectsExit: false,
      exits: [],
      errors: [],
      log: [],
      listeners: [],
      wonAt: 0,
      process: undefined,
    };
    daemons.push(daemon);
    launch(daemon);
  }

  /** One call of a caller, which waits for `timeoutMs`; status 0 if there is no answer. */
  function call(daemon, { method = 'GET', path, body, timeoutMs = 3000, key = KEY }) {
    return new Promise((resolve) => {
      const text = body === undefined ? undefined : JSON.stringify(body);
      const sent = request(
        {
          host: daemon.ip,
          port: 8183,
          method,
          path,
          agent,
          headers: {
            host: HOST,
            authorization: `Bearer ${key}`,
            'x-sapphirewing-request-deadline': String(timeoutMs),
            ...(text === undefined
              ? {}
              : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
          },
        },
        (response) => {
          let answer = '';
          response.on('data', (data) => (answer += data.toString()));
          response.on('end', () => {
            clearTimeout(timer);
            resolve({ status: response.statusCode ?? 0, body: answer });
          });
          response.on('error', () => {
            resolve({ status: 0, body: 'the answer broke off' });
          });
        },
      );
      const timer = setTimeout(() => sent.destroy(new Error('no answer in time')), timeoutMs);
      sent.on('error', (error) => {
        clearTimeout(timer);
        resolve({ status: 0, body: error.message });
      });
      sent.end(text);
    });
  }

  function isReady(daemon) {
    return new Promise((resolve) => {
      const sent = request(
        { host: daemon.ip, port: 8184, path: '/readyz', agent, timeout: 1000 },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      sent.on('timeout', () => sent.destroy());
      sent.on('error', () => resolve(false));
      sent.end();
    });
  }

  async function awaitReady(timeoutMs = 15_000) {
    const until = Date.now() + timeoutMs;
    while (Date.now() < until) {
      const states = await Promise.all(daemons.map(isReady));
      if (states.every(Boolean) && leader() !== undefined) return true;
      await pause(100);
    }
    return false;
  }

  /** The daemon that the store names as leader. */
  function leader() {
    const item = store.items.get('leadership/leader');
    if (item === undefined) return undefined;
    const { host } = JSON.parse(Buffer.from(item.value, 'base64').toString());
    return daemons.find(({ name }) => name === host);
  }

  /** Submits a job and repeats the call as the pages say, at other nodes, until it is answered. */
  async function submit(id, body, { tries = 4, first = 0 } = {}) {
    for (let attempt = 0; attempt < tries; attempt += 1) {
      const daemon = daemons[(first + attempt) % daemons.length];
      const answer = await call(daemon, { method: 'POST', path: `/lookups/${id}`, body });
      record.note(`POST ${id} at ${daemon.name}: ${describe(answer)}`);
      if (answer.status >= 200 && answer.status < 500 && answer.status !== 429) return answer;
      await pause(300);
    }
    return { status: 0, body: '' };
  }

  /** State of a job as some node gives it; undefined if no node answers with 200 or 410. */
  async function state(id) {
    for (const daemon of daemons) {
      const answer = await call(daemon, { path: `/lookups/${id}`, timeoutMs: 1500 });
      if (answer.status === 410) return '410';
      if (answer.status === 200) return JSON.parse(answer.body).state;
    }
    return undefined;
  }

  async function close() {
    closing = true;
    for (const { process: child, gate } of daemons) {
      child?.kill('SIGKILL');
      gate.close();
    }
    agent.destroy();
    await store.close();
    rmSync(folder, { recursive: true, force: true });
  }

  return { store, daemons, configure, call, submit, state, leader, awaitReady, isReady, close };
}

export function describe({ status, body }) {
  return status === 0 ? `no answer (${body})` : `${String(status)} ${body.slice(0, 120)}`;
}

/** Runs a case, saves its record, ends what it started and exits with 1 (broken), 0 (held) or 2 (could not run). */
export async function runCase(path, play) {
  const record = createRecord(path);
  const closers = [];
  let code = 2;
  const limit = setTimeout(() => {
    record.note('the case took too long');
    finish(2);
  }, 115_000);
  function finish(exit) {
    record.save();
    for (const closer of closers.reverse()) void closer();
    setTimeout(() => process.exit(exit), 300);
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => finish(2));
  try {
    const broken = await play({ record, onClose: (closer) => closers.push(closer) });
    code = broken ? 1 : 0;
    record.note(broken ? 'RESULT: the rule was broken' : 'RESULT: the rule held');
  } catch (error) {
    record.note(`RESULT: the case could not run: ${error.stack ?? String(error)}`);
  }
  clearTimeout(limit);
  finish(code);
}
