/**
 * Collects the body of a request into blocks that are charged to the budget of the host, so a chunk costs its bytes however
 * small it is. A body that arrives in one piece is not copied.
 */
import type { IncomingMessage } from 'node:http';
import { BLOCK_BYTES } from './block-pool.js';
import type { ByteBudget, UnfinishedItem } from './byte-budget.js';
import type { FragmentedBodies } from './fragmented-bodies.js';

export interface BodyCollectorOptions {
  readonly maxBytes: number;
  readonly budget: ByteBudget;
  /** Small chunks from which on a body needs one of the places for fragmented bodies. */
  readonly maxSmallChunks?: number;
  /** By default, there are no such places. */
  readonly fragmentedBodies?: FragmentedBodies;
}

/**
 * `too-large`: over the limit. `no-room`: over the budget. `fragmented`: too many small chunks; `abandoned`: given up for
 * other bodies after it was unfinished for long; in both cases the connection is closed. `aborted`: the connection has ended.
 */
export type CollectedBody =
  | { readonly kind: 'complete'; readonly bytes: Uint8Array }
  | { readonly kind: 'too-large' | 'no-room' | 'fragmented' | 'abandoned' | 'aborted' };

export interface BodyCollector {
  readonly collected: Promise<CollectedBody>;
  /** Returns the charge to the budget and keeps no more bytes; must be called once the body is no longer used. */
  release(): void;
}

/** Most bodies have less; they need no block. */
const FIRST_BLOCK_BYTES = 4096;
/**
 * Each chunk takes about 2 us, however small it is: 60 bodies in chunks of one byte kept a host from answering for more
 * than 20 s.
 */
const SMALL_CHUNK_BYTES = 32;
const EMPTY = new Uint8Array();

/** Starts to collect the body; the announced length is checked before any byte is kept. */
export function collectBody(
  incoming: IncomingMessage,
  { maxBytes, budget, maxSmallChunks = Infinity, fragmentedBodies }: BodyCollectorOptions,
): BodyCollector {
  const header = incoming.headers['content-length'];
  const announced = header === undefined ? undefined : Number(header);
  const blocks: Uint8Array[] = [];
  /** Bytes in the last block. */
  let filled = 0;
  let whole: Uint8Array | undefined;
  let size = 0;
  let charged = 0;
  let smallChunks = 0;
  let releasePlace: (() => void) | undefined;
  let finished = false;
  let removeUnfinished: (() => void) | undefined;
  let settle: (body: CollectedBody) => void = () => undefined;
  const collected = new Promise<CollectedBody>((resolve) => {
    settle = resolve;
  });

  const item: UnfinishedItem = {
    abandon: () => {
      finish({ kind: 'abandoned' });
      incoming.destroy();
    },
  };

  function charge(bytes: number): boolean {
    if (!budget.reserve(bytes, item)) return false;
    charged += bytes;
    removeUnfinished ??= budget.addUnfinished(item);
    return true;
  }

  function addBlock(): boolean {
    const bytes = blocks.length === 0 ? FIRST_BLOCK_BYTES : BLOCK_BYTES;
    if (!charge(bytes)) return false;
    blocks.push(blocks.length === 0 ? Buffer.allocUnsafe(bytes) : budget.blocks.take());
    filled = 0;
    return true;
  }

  function append(chunk: Buffer): boolean {
    let rest: Uint8Array = chunk;
    while (rest.byteLength > 0) {
      const last = blocks.at(-1);
      if (last === undefined || filled === last.byteLength) {
        if (!addBlock()) return false;
        continue;
      }
      const part = rest.subarray(0, last.byteLength - filled);
      last.set(part, filled);
      filled += part.byteLength;
      rest = rest.subarray(part.byteLength);
    }
    size += chunk.byteLength;
    return true;
  }

  function keepWhole(chunk: Buffer): boolean {
    if (!budget.reserve(chunk.byteLength)) return false;
    charged = chunk.byteLength;
    size = chunk.byteLength;
    whole = chunk;
    return true;
  }

  function keep(chunk: Buffer): boolean {
    return size === 0 && chunk.byteLength === announced ? keepWhole(chunk) : append(chunk);
  }

  /** Joins the blocks, whose charge of at least as many bytes stays for the result. */
  function join(): Uint8Array {
    const [first] = blocks;
    if (whole !== undefined) return whole;
    if (first === undefined) return EMPTY;
    if (blocks.length === 1) return first.subarray(0, size);
    const joined = Buffer.concat(blocks, size);
    giveBlocks();
    return joined;
  }

  function giveBlocks() {
    for (const block of blocks.splice(0).slice(1)) budget.blocks.give(block);
  }

  const onData = (chunk: Buffer) => {
    if (chunk.byteLength < SMALL_CHUNK_BYTES) smallChunks += 1;
    if (smallChunks > maxSmallChunks) releasePlace ??= fragmentedBodies?.acquire();
    if (smallChunks > maxSmallChunks && releasePlace === undefined) {
      finish({ kind: 'fragmented' });
      // Not discarded like other refused bodies, because reading it is what takes the time.
      incoming.destroy();
    } else if (size + chunk.byteLength > maxBytes) finish({ kind: 'too-large' });
    else if (!keep(chunk)) finish({ kind: 'no-room' });
  };
  const onEnd = () => {
    finish({ kind: 'complete', bytes: join() });
  };
  const onAbort = () => {
    finish({ kind: 'aborted' });
  };

  function refund() {
    budget.release(charged);
    charged = 0;
    whole = undefined;
    giveBlocks();
  }

  function finish(body: CollectedBody) {
    if (finished) return;
    finished = true;
    removeUnfinished?.();
    releasePlace?.();
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
