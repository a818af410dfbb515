/**
 * Guards against resets of connections that callers open while a host stops listening.
 */
import { spawn } from 'node:child_process';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { stopListening } from '../../src/entry/stop-listening.js';

/** Time for the caller's process to start and to connect while this one accepts nothing. */
const BLOCKED_MS = 1500;
const CALLER = `
  const request = require('node:http').get(process.argv[1], (answer) => console.log(answer.statusCode));
  request.on('error', (error) => console.log(error.code));
`;

async function startServer(): Promise<Server> {
  const server = createServer((_, response) => {
    response.writeHead(200, { connection: 'close' }).end();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return server;
}

/** Starts a caller in a process of its own; resolves with the status or error that it saw. */
function startCaller(server: Server): Promise<string> {
  const { port } = server.address() as AddressInfo;
  const caller = spawn(process.execPath, ['-e', CALLER, `http://127.0.0.1:${String(port)}/`]);
  return new Promise((resolve) => {
    let output = '';
    caller.stdout.on('data', (data: Buffer) => (output += data.toString()));
    caller.on('close', () => {
      resolve(output.trim());
    });
  });
}

function blockEventLoop(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

describe('stopListening', () => {
  it('answers a caller that connected before the stop and was not accepted yet', async () => {
    const server = await startServer();
    const seen = startCaller(server);
    blockEventLoop(BLOCKED_MS);
    await stopListening(server);
    expect(await seen).to.equal('200');
  });

  it('refuses callers that connect after the stop', async () => {
    const server = await startServer();
    const { port } = server.address() as AddressInfo;
    await stopListening(server);
    const refusal = await fetch(`http://127.0.0.1:${String(port)}/`).catch(
      (error: unknown) => (error as { cause: { code: string } }).cause.code,
    );
    expect(refusal).to.equal('ECONNREFUSED');
  });
});
