/**
 * Request ids are UUIDs of version 7. They contain their creation time, which bounds how long ids
 * have to be remembered.
 */
import { v7 } from 'uuid';

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;
const TIMESTAMP_HEX_DIGITS = 12;

/** Creates an id for a request whose caller sent none. */
export function createRequestId(): string {
  return v7();
}

export function isRequestId(text: string): boolean {
  return UUID_V7.test(text);
}

/** Creation time of the id, in milliseconds since the epoch. */
export function requestIdTime(id: string): number {
  return Number.parseInt(id.replaceAll('-', '').slice(0, TIMESTAMP_HEX_DIGITS), 16);
}
