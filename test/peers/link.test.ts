/**
 * Guards against callers that wait for the timeout while the link to the leader is cut: after one unanswered call,
 * further calls fail at once as not sent, until a message of the leader arrives.
 */
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { Packr } from 'msgpackr';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import { createLeaderLink } from '../../src/peers/index.js';
import { eventually } from '../platform-path/support.js';

const CALL = { operation: 'state', job: 'a1' } as const;
const ENDED = { kind: 'job-ended', job: 'b1', state: 'completed' };
const TIMEOUT_MS = 50;

describe('the link to the leader', () => {
  let leader: WebSocketServer;
  let sockets: WebSocket[];

  beforeEach(async () => {
    sockets = [];
    leader = new WebSocketServer({ host: '127.0.0.1', port: 0 });
    leader.on('connection', (socket) => sockets.push(socket));
    await new Promise((resolve) => leader.once('listening', resolve));
  });

  afterEach(() => {
    for (const socket of sockets) socket.terminate();
    leader.close();
  });

  it('forwards no calls after an unanswered one until the leader sends a message', async () => {
    const link = createLeaderLink({
      host: 'host-1',
      processors: 1,
      events: SILENT_EVENTS,
      onLeaderUnavailable: () => undefined,
      advise: () => Promise.resolve(undefined),
      onEnd: () => undefined,
    });
    const relay = async () => (await link.relay(CALL, TIMEOUT_MS))._unsafeUnwrapErr();
    expect(await relay()).to.equal('not-sent');
    link.setLeaderAddress(`127.0.0.1:${String((leader.address() as AddressInfo).port)}`);
    // The leader receives the calls and answers none.
    await eventually(async () => ((await relay()) === 'no-answer' ? true : undefined));
    expect(await relay()).to.equal('not-sent');
    sockets[0]?.send(new Packr({ useRecords: false }).pack(ENDED));
    await eventually(async () => ((await relay()) === 'no-answer' ? true : undefined));
    link.close();
  });
});
