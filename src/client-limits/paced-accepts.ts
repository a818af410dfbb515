/**
 * Starts to read only a few new connections in one turn of the event loop. Otherwise a crowd that connects and sends at once
 * is read in one turn, and timers such as the renewal of the leader's lease have to wait for all of it.
 */
import type { Socket } from 'node:net';

/**
 * One connection takes up to 30 ms of a core if its first bytes are a body in one-byte chunks; on hosts with a quarter of
 * a core four of them take 0.5 s, and the leader's lease ends after 1.2 s.
 */
const CONNECTIONS_PER_TURN = 4;

/** Returns a function that is called with each new connection. */
export function paceAccepts(perTurn = CONNECTIONS_PER_TURN): (socket: Socket) => void {
  const waiting: Socket[] = [];
  let started = 0;
  let isScheduled = false;

  function schedule() {
    if (isScheduled) return;
    isScheduled = true;
    setImmediate(() => {
      isScheduled = false;
      started = 0;
      for (const socket of waiting.splice(0, perTurn)) {
        started += 1;
        socket.resume();
      }
      if (started > 0) schedule();
    });
  }

  return (socket) => {
    schedule();
    if (started < perTurn && waiting.length === 0) {
      started += 1;
      return;
    }
    socket.pause();
    waiting.push(socket);
  };
}
