/**
 * Addresses as text. Clients are created from addresses that other writers leave in the store, and creating one from
 * text that is no address throws.
 */
import { isIPv4 } from 'node:net';

const MAX_PORT = 65_535;

/** Whether the text is `ip:port`, with an IPv4 address and a port that can be connected to. */
export function isSocketAddress(text: string): boolean {
  const match = /^([\d.]+):([1-9]\d{0,4})$/.exec(text);
  if (match === null) return false;
  const [, ip = '', port] = match;
  return isIPv4(ip) && Number(port) <= MAX_PORT;
}
