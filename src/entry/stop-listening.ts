/**
 * Stops a listener without resetting connections that callers have just opened. The kernel completes
 * connections on its own and resets those that nobody has accepted once the socket closes.
 */
import { Server as NetServer, type Server } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';

/** Time in which a connection can arrive unseen; a turn of an idle event loop takes a tenth of it. */
const QUIET_TURN_MS = 0.25;
/** The listener closes after this time even if no turn was quiet. */
const MAX_WAIT_MS = 1000;

/**
 * Waits for a turn of the event loop in which no connection was waiting, then refuses new ones and keeps those that
 * are open. `Server.close` of http would also close idle ones, over which a caller may be sending a request.
 */
export async function stopListening(server: Server): Promise<void> {
  let accepted = 0;
  server.on('connection', () => {
    accepted += 1;
  });
  const giveUpAt = performance.now() + MAX_WAIT_MS;
  for (;;) {
    const acceptedBefore = accepted;
    const startedAt = performance.now();
    await nextTurn();
    const now = performance.now();
    const isQuiet = accepted === acceptedBefore && now - startedAt < QUIET_TURN_MS;
    if (isQuiet || now > giveUpAt) break;
  }
  NetServer.prototype.close.call(server);
}
