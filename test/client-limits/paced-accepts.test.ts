/**
 * Guards against a crowd that connects and sends at once and is read in one turn of the event loop, in which no timer of the
 * host runs; and against a connection that is never read.
 */
import { Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { expect } from 'chai';
import { paceAccepts } from '../../src/client-limits/paced-accepts.js';

const PER_TURN = 4;

describe('new connections', () => {
  const countRead = (sockets: readonly Socket[]) =>
    sockets.filter((socket) => !socket.isPaused()).length;

  function accept(count: number, pace: (socket: Socket) => void): Socket[] {
    return Array.from({ length: count }, () => {
      const socket = new Socket();
      pace(socket);
      return socket;
    });
  }

  it('are read a few in each turn until all are', async () => {
    const pace = paceAccepts(PER_TURN);
    const sockets = accept(10, pace);
    expect(countRead(sockets)).to.equal(4);
    await nextTurn();
    expect(countRead(sockets)).to.equal(8);
    const later = accept(1, pace);
    expect(countRead(later)).to.equal(0);
    await nextTurn();
    expect(countRead([...sockets, ...later])).to.equal(11);
  });

  it('are read at once if there are few', async () => {
    const pace = paceAccepts(PER_TURN);
    for (let turn = 0; turn < 3; turn += 1) {
      expect(countRead(accept(PER_TURN, pace))).to.equal(PER_TURN);
      await nextTurn();
    }
  });
});
