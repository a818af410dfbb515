/**
 * Starts stand-ins and daemons as child processes and calls the control routes of stand-ins, for
 * tests, the demo and benchmarks.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';

export interface ProcessOptions {
  /** Path of the compiled entry module. */
  readonly script: string;
  readonly args?: readonly string[];
  /** Command-line options for Node.js, for example `--cpu-prof`. */
  readonly nodeArgs?: readonly string[];
  readonly readyTimeoutMs?: number;
}

/** A child process that has printed its ready line. */
export interface RunningProcess {
  readonly pid: number;
  readonly url: string;
  /** Everything that the process has written to standard output and standard error. */
  output(): string;
  /** Sends a signal, for example SIGSTOP to pause the process. */
  signal(signal: NodeJS.Signals): void;
  /**
   * Ends the process with a signal, SIGTERM by default, and resolves with its exit code, or null if a
   * signal ended it.
   */
  stop(signal?: NodeJS.Signals): Promise<number | null>;
}

export interface WorkersProcess extends RunningProcess {
  /** The workers as the host list shows them. */
  readonly workers: readonly StartedWorker[];
}

export interface StartedWorker {
  readonly id: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly url: string;
  readonly capacity: {
    readonly processors: number;
    readonly memoryMb: number;
    readonly accelerators: number;
  };
  readonly slots: number;
  readonly connections: number;
  readonly state: 'live' | 'leaving';
}

const READY_TIMEOUT_MS = 10_000;
const READY_LINE = /^listening (?<url>\S+)/;

/** Starts a process and waits until it prints `listening <url>`. */
export async function startProcess(options: ProcessOptions): Promise<RunningProcess> {
  const { script, args = [], nodeArgs = [], readyTimeoutMs = READY_TIMEOUT_MS } = options;
  const child = spawn(process.execPath, [...nodeArgs, script, ...args], { stdio: 'pipe' });
  const lines: string[] = [];
  child.stderr.on('data', (chunk: Buffer) => lines.push(chunk.toString()));
  const timer = setTimeout(() => child.kill('SIGKILL'), readyTimeoutMs);
  const url = await new Promise<string>((resolve, reject) => {
    createInterface({ input: child.stdout }).on('line', (line) => {
      lines.push(`${line}\n`);
      const found = READY_LINE.exec(line)?.groups?.url;
      if (found !== undefined) resolve(found);
    });
    child.once('error', reject);
    child.once('close', () => {
      reject(new Error(`${script} ended before it was ready:\n${lines.join('')}`));
    });
  }).finally(() => {
    clearTimeout(timer);
  });
  return createRunningProcess(child, url, lines);
}

function createRunningProcess(
  child: ChildProcess,
  url: string,
  lines: readonly string[],
): RunningProcess {
  const hasEnded = () => child.exitCode !== null || child.signalCode !== null;
  return {
    pid: child.pid ?? 0,
    url,
    output: () => lines.join(''),
    signal: (signal) => {
      child.kill(signal);
    },
    stop: async (signal = 'SIGTERM') => {
      if (hasEnded()) return child.exitCode;
      const exit = once(child, 'exit');
      child.kill(signal);
      // A process paused by SIGSTOP handles SIGTERM only after it continues.
      child.kill('SIGCONT');
      await exit;
      return child.exitCode;
    },
  };
}

export function startKeyValue(args: readonly string[] = []): Promise<RunningProcess> {
  return startStandIn('key-value', args);
}

export function startHostList(args: readonly string[] = []): Promise<RunningProcess> {
  return startStandIn('host-list', args);
}

/** Starts one process that serves the given workers; `workerSpec` describes their properties. */
export async function startWorkerProcess(specs: readonly object[]): Promise<WorkersProcess> {
  const args = specs.flatMap((spec) => ['--worker', JSON.stringify(spec)]);
  const started = await startStandIn('worker', args);
  const workers = await callControlRoute(started.url, 'GET', '/control/workers');
  return { ...started, workers: workers as readonly StartedWorker[] };
}

function startStandIn(name: string, args: readonly string[]): Promise<RunningProcess> {
  const script = fileURLToPath(new URL(`./${name}/main.js`, import.meta.url));
  return startProcess({ script, args: ['--exit-with-stdin', ...args] });
}

/** Calls a control route and returns its parsed JSON response. Throws on any status except 200. */
export async function callControlRoute(
  url: string,
  method: 'GET' | 'PUT' | 'POST' | 'PATCH',
  path: string,
  body?: unknown,
): Promise<unknown> {
  const answer = await request(url + path, {
    method,
    body: body === undefined ? null : JSON.stringify(body),
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200) {
    throw new Error(`${method} ${path} answered ${String(answer.statusCode)}: ${text}`);
  }
  return JSON.parse(text);
}
