/**
 * Runs the daemons of a soak as separate processes of the built program, each with its own settings file,
 * loopback address and log file. Signals are only sent to processes that this module started, by process id.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { request } from 'undici';
import { SETTINGS_VARIABLE } from '../platform/settings.js';
import { formatHostSettings } from '../stand-ins/platform/settings.js';
import { sleep } from './proxy.js';

export interface Daemon {
  readonly name: string;
  readonly url: string;
  /** Whether the process runs and is neither paused nor being stopped. */
  readonly running: boolean;
  start(): Promise<void>;
  /** Sends the signal; resolves when the process has exited. */
  end(signal: 'SIGTERM' | 'SIGKILL'): Promise<void>;
  pause(): void;
  resume(): void;
  /** Changes the settings file and sends SIGHUP to the process. */
  reload(): Promise<void>;
  /** Exits that were not requested by `end`. */
  readonly unexpectedExits: readonly string[];
}

export interface DaemonOptions {
  readonly program: string;
  readonly folder: string;
  /** First two octets of the loopback addresses; each daemon has its own, since all serve metrics on the same port. */
  readonly network: string;
  readonly number: number;
  /** `ip:port` at which this daemon reaches the store. */
  readonly storeAddress: string;
}

const READY_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 50;
const GRACE_S = 6;
/** The platform also kills a process that outlives its grace period. */
const KILL_AFTER_MS = GRACE_S * 1000 + 500;

export async function createDaemon(options: DaemonOptions): Promise<Daemon> {
  const { folder, number } = options;
  const name = `host-${String(number)}`;
  const ip = `${options.network}.${String(number)}.1`;
  const settings = join(folder, `${name}.toml`);
  const unexpectedExits: string[] = [];
  let child: ChildProcess | undefined;
  let paused = false;
  /** Set at the first output of the process; before it, the signal handlers may not be installed yet. */
  let handlesSignals = false;
  let stopRequested = false;
  let reloads = 0;
  await mkdir(folder, { recursive: true });
  await writeSettings();
  const log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });

  async function writeSettings() {
    const text = formatHostSettings({
      name,
      ip,
      dataCentre: `dc${String(1 + (number % 2))}`,
      storeAddress: options.storeAddress,
      graceS: GRACE_S,
    });
    // The daemon ignores the unknown field; the counter makes each reload see a changed file.
    await writeFile(settings, `reloads = ${String(reloads)}\n${text}`);
  }

  async function isReady(): Promise<boolean> {
    try {
      const answer = await request(`http://${ip}:8081/readyz`, { headersTimeout: 1000 });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }

  async function end(signal: 'SIGTERM' | 'SIGKILL') {
    const target = child;
    if (target?.exitCode !== null || target.signalCode !== null) return;
    stopRequested = true;
    const exited = once(target, 'exit');
    if (paused) target.kill('SIGCONT');
    paused = false;
    target.kill(signal);
    const timer = setTimeout(() => target.kill('SIGKILL'), KILL_AFTER_MS);
    await exited;
    clearTimeout(timer);
    child = undefined;
  }

  return {
    name,
    url: `http://${ip}:8080`,
    unexpectedExits,
    get running() {
      return child !== undefined && !paused && !stopRequested;
    },
    start: async () => {
      if (child !== undefined) return;
      stopRequested = false;
      const started = spawn(process.execPath, [options.program], {
        env: { ...process.env, [SETTINGS_VARIABLE]: settings },
      });
      child = started;
      handlesSignals = false;
      started.stdout.once('data', () => {
        handlesSignals = true;
      });
      started.stdout.pipe(log, { end: false });
      started.stderr.pipe(log, { end: false });
      started.on('exit', (code, signal) => {
        if (!stopRequested) unexpectedExits.push(`${name} ended with ${String(code ?? signal)}`);
        if (child === started) child = undefined;
      });
      const giveUpAt = performance.now() + READY_TIMEOUT_MS;
      while (child === started && performance.now() < giveUpAt && !(await isReady())) {
        await sleep(READY_POLL_MS);
      }
    },
    end,
    pause: () => {
      if (child === undefined || stopRequested) return;
      paused = true;
      child.kill('SIGSTOP');
    },
    resume: () => {
      if (!paused) return;
      paused = false;
      child?.kill('SIGCONT');
    },
    reload: async () => {
      reloads += 1;
      await writeSettings();
      if (!paused && handlesSignals) child?.kill('SIGHUP');
    },
  };
}
