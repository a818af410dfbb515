/**
 * Collects the body of a request into one buffer that is charged to the budget of the host. The buffer grows with the
 * body, so a chunk costs its bytes however small it is. A body that arrives in one piece is not copied.
 */
import type { IncomingMessage } from 'node:http';
import type { ByteBudget } from './byte-budget.js';

export interface BodyCollectorOptions {
  readonly maxBytes: number;
  readonly budget: ByteBudget;
  /** The most small chunks that a body may have. */
  readonly maxSmallChunks?: number;
}

/**
 * `too-large`: over the limit. `no-room`: over the budget. `fragmented`: too many small chunks, the connection is closed.
 * `aborted`: the connection has ended.
 */
export type CollectedBody =
  | { readonly kind: 'complete'; readonly bytes: Uint8Array }
  | { readonly kind: 'too-large' | 'no-room' | 'fragmented' | 'aborted' };

export interface BodyCollector {
  readonly collected: Promise<CollectedBody>;
  /** Returns the charge to the budget and keeps no more bytes; must be called once the body is no longer used. */
  release(): void;
}

const FIRST_CAPACITY = 4096;
/**
 * Each chunk takes about 2 us, however small it is: 60 bodies in chunks of one byte kept a host from answering for more
 * than 20 s.
 */
const SMALL_CHUNK_BYTES = 32;
const EMPTY = new Uint8Array();

/** Starts to collect the body; the announced length is checked before any byte is kept. */
export function collectBody(
  incoming: IncomingMessage,
  { maxBytes, budget, maxSmallChunks = Infinity }: BodyCollectorOptions,
): BodyCollector {
  const header = incoming.headers['content-length'];
  const announced = header === undefined ? undefined : Number(header);
  let buffer: Uint8Array = EMPTY;
  let size = 0;
  let charged = 0;
  let smallChunks = 0;
  let finished = false;
  let settle: (body: CollectedBody) => void = () => undefined;
  const collected = new Promise<CollectedBody>((resolve) => {
    settle = resolve;
  });

  function ensureCapacity(needed: number): boolean {
    if (needed <= buffer.byteLength) return true;
    const grown = Math.max(needed, FIRST_CAPACITY, 2 * buffer.byteLength);
    const capacity = Math.min(announced ?? grown, maxBytes);
    // Both buffers exist while the bytes are copied, which no other request can observe.
    if (!budget.reserve(capacity - charged)) return false;
    charged = capacity;
    const larger = Buffer.allocUnsafeSlow(capacity);
    larger.set(buffer.subarray(0, size));
    buffer = larger;
    return true;
  }

  function keepWhole(chunk: Buffer): boolean {
    if (!budget.reserve(chunk.byteLength)) return false;
    charged = chunk.byteLength;
    buffer = chunk;
    size = chunk.byteLength;
    return true;
  }

  function append(chunk: Buffer): boolean {
    if (size === 0 && chunk.byteLength === announced) return keepWhole(chunk);
    if (!ensureCapacity(size + chunk.byteLength)) return false;
    buffer.set(chunk, size);
    size += chunk.byteLength;
    return true;
  }

  const onData = (chunk: Buffer) => {
    if (chunk.byteLength < SMALL_CHUNK_BYTES) smallChunks += 1;
    if (smallChunks > maxSmallChunks) {
      finish({ kind: 'fragmented' });
      // Not discarded like other refused bodies, because reading it is what takes the time.
      incoming.destroy();
    } else if (size + chunk.byteLength > maxBytes) finish({ kind: 'too-large' });
    else if (!append(chunk)) finish({ kind: 'no-room' });
  };
  const onEnd = () => {
    finish({ kind: 'complete', bytes: buffer.subarray(0, size) });
  };
  const onAbort = () => {
    finish({ kind: 'aborted' });
  };

  function refund() {
    budget.release(charged);
    charged = 0;
    buffer = EMPTY;
  }

  function finish(body: CollectedBody) {
    if (finished) return;
    finished = true;
    incoming.off('data', onData);
    incoming.off('end', onEnd);
    incoming.off('close', onAbort);
    settle(body);
    if (body.kind === 'complete') return;
    refund();
    // What still arrives is discarded, so that the response reaches a client that sends first and reads later.
    incoming.resume();
  }

  if (announced !== undefined && announced > maxBytes) finish({ kind: 'too-large' });
  else if (incoming.readableEnded) onEnd();
  else if (incoming.destroyed) onAbort();
  else {
    incoming.on('data', onData);
    incoming.on('end', onEnd);
    incoming.on('close', onAbort);
  }
  // Stays in place: an error of the connection without a listener would end the process.
  incoming.on('error', onAbort);
  return {
    collected,
    release: () => {
      refund();
      finish({ kind: 'aborted' });
    },
  };
}
