/**
 * Requests in progress at the end of a planned stop.
 */
import { createServer, get } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { finishConnections } from '../../platform/finish-connections.js';

const ANSWER_MS = 300;

describe('the end of a planned stop', () => {
  let server: Server;

  beforeEach(async () => {
    server = createServer((_request, response) => {
      setTimeout(() => response.end('complete'), ANSWER_MS);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  async function request(): Promise<string> {
    const { port } = server.address() as AddressInfo;
    return new Promise((resolve, reject) => {
      get({ port, host: '127.0.0.1' }, (response) => {
        let text = '';
        response.on('data', (chunk: Buffer) => (text += chunk.toString()));
        response.on('end', () => {
          resolve(text);
        });
        response.on('error', reject);
      }).on('error', reject);
    });
  }

  // The process exited when its time was up, and a request that it had just read got no answer.
  it('comes after the answers to all requests in progress', async () => {
    const answer = request().catch((error: unknown) => String(error));
    await new Promise((resolve) => setTimeout(resolve, 50));
    await finishConnections(server, { minDrainMs: 0, maxDrainMs: 100, lastAnswersMs: 2000 });
    // The exit of the process, which nothing delays after this, cuts off what has not been sent.
    server.closeAllConnections();
    expect(await answer).to.equal('complete');
  });

  it('comes in time if a request is not answered', async () => {
    const startedAt = performance.now();
    const answer = request().catch(() => '');
    await new Promise((resolve) => setTimeout(resolve, 20));
    await finishConnections(server, { minDrainMs: 0, maxDrainMs: 60, lastAnswersMs: 60 });
    expect(performance.now() - startedAt).to.be.lessThan(ANSWER_MS);
    await answer;
  });
});
