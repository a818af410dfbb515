/**
 * Guards against the requests of many connections being parsed in one turn of the event loop, and against connections that
 * are read although something else has paused them.
 */
import { Socket } from 'node:net';
import { expect } from 'chai';
import { createFragmentedBodies, createTurnGate } from '../../src/client-limits/index.js';

describe('the turn of the event loop', () => {
  it('reads no more connections once some were closed for their requests, until it ends', async () => {
    const gate = createTurnGate(2);
    const sockets = [new Socket(), new Socket(), new Socket()] as const;
    const [read, paused, gone] = sockets;
    for (const socket of sockets) gate.add(socket.resume());
    paused.pause();
    gate.remove(gone);
    gate.record();
    expect(sockets.map((socket) => socket.isPaused())).to.deep.equal([false, true, false]);
    gate.record();
    expect(sockets.map((socket) => socket.isPaused())).to.deep.equal([true, true, false]);
    await new Promise(setImmediate);
    expect(read.isPaused()).to.equal(false);
    expect(paused.isPaused()).to.equal(true);
  });
});

describe('bodies in small chunks', () => {
  it('are reported when they get no place', () => {
    let refused = 0;
    const bodies = createFragmentedBodies({ places: 1, onRefused: () => (refused += 1) });
    expect(bodies.acquire()).to.be.a('function');
    expect(refused).to.equal(0);
    expect(bodies.acquire()).to.equal(undefined);
    expect(refused).to.equal(1);
  });
});
