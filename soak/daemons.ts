/**
 * The daemons of a soak: separate processes of the built program, with a settings file, a loopback address and
 * a log file each. Only processes that were started here are ever signalled, by their ids.
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
  /** Whether the process runs and is not paused. */
  readonly running: boolean;
  start(): Promise<void>;
  /** Ends the process with the signal; resolves when it is gone. */
  end(signal: 'SIGTERM' | 'SIGKILL'): Promise<void>;
  pause(): void;
  resume(): void;
  /** Changes the settings file and tells the process. */
  reload(): Promise<void>;
  /** Exits that nobody asked for. */
  readonly unexpectedExits: readonly string[];
}

export interface DaemonOptions {
  readonly program: string;
  readonly folder: string;
  /** First two numbers of the loopback network, since all daemons serve metrics on the same port. */
  readonly network: string;
  readonly number: number;
  /** `ip:port` at which this daemon reaches the store. */
  readonly storeAddress: string;
}

const READY_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 50;
const GRACE_S = 6;
/** A process that ignores the end of its grace period is killed, as the platform does. */
const KILL_AFTER_MS = GRACE_S * 1000 + 500;

export async function createDaemon(options: DaemonOptions): Promise<Daemon> {
  const { folder, number } = options;
  const name = `host-${String(number)}`;
  const ip = `${options.network}.${String(number)}.1`;
  const settings = join(folder, `${name}.toml`);
  const unasked: string[] = [];
  let child: ChildProcess | undefined;
  let paused = false;
  /** The process has written a line; before this, no program could handle a signal. */
  let loaded = false;
  let ending = false;
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
    // An unknown field is ignored, so that each reload finds another file.
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
    const ended = child;
    if (ended?.exitCode !== null || ended.signalCode !== null) return;
    ending = true;
    const gone = once(ended, 'exit');
    if (paused) ended.kill('SIGCONT');
    paused = false;
    ended.kill(signal);
    const timer = setTimeout(() => ended.kill('SIGKILL'), KILL_AFTER_MS);
    await gone;
    clearTimeout(timer);
    child = undefined;
  }

  return {
    name,
    url: `http://${ip}:8080`,
    unexpectedExits: unasked,
    get running() {
      return child !== undefined && !paused && !ending;
    },
    start: async () => {
      if (child !== undefined) return;
      ending = false;
      const started = spawn(process.execPath, [options.program], {
        env: { ...process.env, [SETTINGS_VARIABLE]: settings },
      });
      child = started;
      loaded = false;
      started.stdout.once('data', () => {
        loaded = true;
      });
      started.stdout.pipe(log, { end: false });
      started.stderr.pipe(log, { end: false });
      started.on('exit', (code, signal) => {
        if (!ending) unasked.push(`${name} ended with ${String(code ?? signal)}`);
        if (child === started) child = undefined;
      });
      const giveUpAt = performance.now() + READY_TIMEOUT_MS;
      while (child === started && performance.now() < giveUpAt && !(await isReady())) {
        await sleep(READY_POLL_MS);
      }
    },
    end,
    pause: () => {
      if (child === undefined || ending) return;
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
      if (!paused && loaded) child?.kill('SIGHUP');
    },
  };
}
