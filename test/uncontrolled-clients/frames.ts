/**
 * WebSocket frames and messages as a client of the port for links sends them. The mask is zero, so payloads stay as they are.
 */
import { Packr } from 'msgpackr';

export const TEXT = 1;
export const BINARY = 2;
export const CLOSE = 8;
export const PING = 9;
export const CONTINUATION = 0;

const FINAL = 0x80;
const MASKED = 0x80;
const MASK_BYTES = 4;
const MAX_SHORT_BYTES = 125;
const LENGTH_OF_16_BITS = 126;
const packr = new Packr({ useRecords: false });

/** A frame with a payload of up to 65,535 bytes. */
export function frame(opcode: number, payload: Uint8Array = Buffer.alloc(0), final = true): Buffer {
  const { byteLength } = payload;
  const first = (final ? FINAL : 0) | opcode;
  const isShort = byteLength <= MAX_SHORT_BYTES;
  const head = Buffer.from([first, MASKED | (isShort ? byteLength : LENGTH_OF_16_BITS)]);
  const length = Buffer.alloc(isShort ? 0 : 2);
  if (!isShort) length.writeUInt16BE(byteLength);
  return Buffer.concat([head, length, Buffer.alloc(MASK_BYTES), payload]);
}

export function message(body: unknown): Buffer {
  return frame(BINARY, packr.pack(body));
}

/** First message of a link, with which any client can claim to be a host. */
export function hello(index: number): Buffer {
  return message({ kind: 'hello', host: `guest-${String(index)}`, processors: 1 });
}

/** As many copies as come close to `bytes`, in one piece. */
export function fill(copy: Buffer, bytes: number): Buffer {
  return Buffer.concat(Array.from({ length: Math.floor(bytes / copy.byteLength) }, () => copy));
}
