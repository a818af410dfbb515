/**
 * Runs the built command-line tool against operator servers in this process.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { serve, type HttpBindings } from '@hono/node-server';
import { Hono, type MiddlewareHandler } from 'hono';
import { createOperatorApp, type OperatorBackend } from '../../src/operators/index.js';
import { OPERATOR_SECRET } from '../operators/fake-backend.js';
import { UNLIMITED_BODIES } from '../support.js';

const CLI_PATH = 'dist/src/bin/sapphirewing.js';

export interface CommandResult {
  readonly exit: number | null;
  readonly out: string;
  readonly err: string;
}

export type Intercept = MiddlewareHandler<{ Bindings: HttpBindings }>;

export interface Harness {
  /** Starts an operator server; `intercept` runs before its routes. */
  startHost(backend: OperatorBackend, intercept?: Intercept): Promise<string>;
  run(args: readonly string[], hosts?: readonly string[], key?: string): Promise<CommandResult>;
  writeFile(text: string): Promise<string>;
  /** Returns a URL on which nothing listens. */
  unusedUrl(): Promise<string>;
  close(): Promise<void>;
}

export async function createHarness(): Promise<Harness> {
  const folder = await mkdtemp(join(tmpdir(), 'sapphirewing-'));
  const servers: ReturnType<typeof serve>[] = [];
  const children = new Set<ChildProcess>();
  let files = 0;

  async function listen(fetch: Parameters<typeof serve>[0]['fetch']): Promise<string> {
    const port = await new Promise<number>((resolve) => {
      const server = serve({ fetch, port: 0, hostname: '127.0.0.1' }, (info: AddressInfo) => {
        resolve(info.port);
      });
      servers.push(server);
    });
    return `http://127.0.0.1:${String(port)}`;
  }

  return {
    startHost: (backend, intercept) => {
      const app = new Hono<{ Bindings: HttpBindings }>();
      if (intercept !== undefined) app.use(intercept);
      app.route('/', createOperatorApp({ backend, bodies: UNLIMITED_BODIES }));
      return listen(app.fetch);
    },
    run: (args, hosts = [], key = OPERATOR_SECRET) =>
      new Promise((resolve) => {
        const env = { PATH: process.env.PATH, SAPPHIREWING_KEY: key };
        const named = hosts.flatMap((host) => ['--host', host]);
        const child = spawn(process.execPath, [CLI_PATH, ...args, ...named], { env });
        children.add(child);
        const output = { out: '', err: '' };
        child.stdout.on('data', (data: Buffer) => (output.out += data.toString()));
        child.stderr.on('data', (data: Buffer) => (output.err += data.toString()));
        child.on('close', (exit) => {
          children.delete(child);
          resolve({ exit, ...output });
        });
      }),
    writeFile: async (text) => {
      files += 1;
      const file = join(folder, `file-${String(files)}.yaml`);
      await writeFile(file, text);
      return file;
    },
    unusedUrl: async () => {
      const url = await listen(() => new Response());
      const server = servers.pop();
      await new Promise((resolve) => server?.close(resolve));
      return url;
    },
    close: async () => {
      for (const child of children) child.kill('SIGKILL');
      for (const server of servers) {
        await new Promise((resolve) => server.close(resolve));
      }
      await rm(folder, { recursive: true });
    },
  };
}
