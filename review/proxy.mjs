/**
 * TCP proxy on the loopback interface. While `cut` is set it delivers nothing in either direction and no reset, like a
 * silent partition. When the cut ends, held bytes are delivered, as TCP does by retransmission, unless their sender has
 * closed the connection meanwhile; connections to a process that has ended are reset.
 */
import { connect, createServer } from 'node:net';

/** Starts a proxy in front of the given address. */
export async function startProxy({ host, port }) {
  const pairs = new Set();
  let cut = false;
  /** Connections on which the cut has no effect. */
  const spared = new Set();
  const isCut = (pair) => cut && !spared.has(pair);

  function openUpstream(pair) {
    pair.upstream = connect(port, host);
    pair.upstream.on('data', (chunk) => deliver(pair, 'caller', chunk));
    pair.upstream.on('close', () => close(pair, 'upstream'));
    pair.upstream.on('error', () => undefined);
  }

  function deliver(pair, side, chunk) {
    if (isCut(pair)) pair.held[side].push(chunk);
    else pair[side].write(chunk);
  }

  /** Passes on the end of one side. During a cut the other side learns of it only afterwards. */
  function close(pair, side) {
    pair.closed.add(side);
    if (side === 'caller') {
      // What the caller sent and the cut has held is lost.
      pair.held.upstream = [];
      pair.upstream?.destroy();
      pairs.delete(pair);
    } else if (!isCut(pair)) {
      pair.caller.resetAndDestroy();
      pairs.delete(pair);
    }
  }

  const server = createServer((caller) => {
    const pair = {
      caller,
      upstream: undefined,
      held: { caller: [], upstream: [] },
      closed: new Set(),
    };
    pairs.add(pair);
    caller.on('data', (chunk) => deliver(pair, 'upstream', chunk));
    caller.on('close', () => close(pair, 'caller'));
    caller.on('error', () => undefined);
    if (!cut) openUpstream(pair);
  });
  await new Promise((resolve) => server.listen(0, host, resolve));

  return {
    address: `${host}:${String(server.address().port)}`,
    get cut() {
      return cut;
    },
    /** Cuts all but the connections that are open now, whose caller is on the same side of the partition. */
    cutNewConnections: () => {
      for (const pair of pairs) spared.add(pair);
      cut = true;
    },
    set cut(next) {
      if (next === cut) return;
      cut = next;
      if (cut) return;
      for (const pair of [...pairs]) {
        if (pair.closed.has('upstream')) {
          pair.caller.resetAndDestroy();
          pairs.delete(pair);
          continue;
        }
        if (pair.upstream === undefined) openUpstream(pair);
        for (const chunk of pair.held.upstream.splice(0)) pair.upstream.write(chunk);
        for (const chunk of pair.held.caller.splice(0)) pair.caller.write(chunk);
      }
    },
    close: () => {
      for (const { caller, upstream } of pairs) {
        caller.destroy();
        upstream?.destroy();
      }
      server.close();
    },
  };
}
