/**
 * Spreads connections that are closed for their requests or for the chunks of a body over turns of the event loop. The parser
 * builds a request of about 5 KB for each of up to 1,700 that were read at once, also after their connection is closed, and
 * they stay in memory until the turn ends; 10,000 small chunks that were read at once take about 15 ms. So after a few
 * such connections all others are read in the next turn only, and timers run between.
 */
import type { Socket } from 'node:net';

export interface TurnGate {
  /** Counts a connection that is closed while what it sent is parsed. */
  record(): void;
  add(socket: Socket): void;
  remove(socket: Socket): void;
}

/** Each keeps up to 9 MB in memory until the turn ends. */
const CLOSED_PER_TURN = 2;

export function createTurnGate(perTurn = CLOSED_PER_TURN): TurnGate {
  const sockets = new Set<Socket>();
  let paused: Socket[] = [];
  let closed = 0;
  let isScheduled = false;

  function endTurn() {
    isScheduled = false;
    closed = 0;
    for (const socket of paused.splice(0)) socket.resume();
  }

  return {
    record: () => {
      closed += 1;
      if (!isScheduled) setImmediate(endTurn);
      isScheduled = true;
      if (closed !== perTurn) return;
      // Those that are paused for another reason stay paused.
      paused = [...sockets].filter((socket) => !socket.isPaused());
      for (const socket of paused) socket.pause();
    },
    add: (socket) => sockets.add(socket),
    remove: (socket) => sockets.delete(socket),
  };
}
