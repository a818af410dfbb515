/**
 * Mutual authentication in the headers of the WebSocket upgrade. Each side proves that it knows the
 * cluster secret with an HMAC over its role, the dialler's nonce and both identities, so the secret
 * itself is never sent, not even to a wrong address. A proof names the host that was dialled, so a
 * host that took over a former host's address is not mistaken for it.
 *
 * Without TLS the messages that follow are neither secret nor protected against changes.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';

/** One process of a host. */
export interface Identity {
  readonly host: string;
  readonly bootId: string;
}

/** What the dialler sends. */
export interface HandshakeRequest extends Identity {
  readonly nonce: string;
  /** Id of the host that is dialled. */
  readonly target: string;
  readonly proof: string;
}

const HEADERS = {
  host: 'sapphirewing-host',
  bootId: 'sapphirewing-boot',
  nonce: 'sapphirewing-nonce',
  target: 'sapphirewing-target',
  proof: 'sapphirewing-proof',
} as const;

const NONCE_BYTES = 16;

export function createHandshakeRequest(
  self: Identity,
  target: string,
  secret: string,
): HandshakeRequest {
  const nonce = randomBytes(NONCE_BYTES).toString('hex');
  const proof = prove(secret, ['dial', nonce, self.host, self.bootId, target]);
  return { ...self, nonce, target, proof };
}

export function handshakeRequestHeaders(greeting: HandshakeRequest): Record<string, string> {
  return {
    [HEADERS.host]: encodeURIComponent(greeting.host),
    [HEADERS.bootId]: encodeURIComponent(greeting.bootId),
    [HEADERS.nonce]: greeting.nonce,
    [HEADERS.target]: encodeURIComponent(greeting.target),
    [HEADERS.proof]: greeting.proof,
  };
}

/** The greeting if its proof is right. */
export function verifyHandshakeRequest(
  headers: IncomingHttpHeaders,
  secret: string,
): HandshakeRequest | undefined {
  const host = readHeader(headers, HEADERS.host);
  const bootId = readHeader(headers, HEADERS.bootId);
  const nonce = readHeader(headers, HEADERS.nonce);
  const target = readHeader(headers, HEADERS.target);
  const proof = readHeader(headers, HEADERS.proof);
  if (!host || !bootId || !nonce || !target || !proof) return undefined;
  const expected = prove(secret, ['dial', nonce, host, bootId, target]);
  return equalProofs(proof, expected) ? { host, bootId, nonce, target, proof } : undefined;
}

/** The listener's answer, as lines for the response. */
export function handshakeResponseHeaders(
  self: Identity,
  greeting: HandshakeRequest,
  secret: string,
): string[] {
  const proof = prove(secret, ['accept', greeting.nonce, self.host, self.bootId, greeting.host]);
  return [
    `${HEADERS.host}: ${encodeURIComponent(self.host)}`,
    `${HEADERS.bootId}: ${encodeURIComponent(self.bootId)}`,
    `${HEADERS.proof}: ${proof}`,
  ];
}

/** The listener's identity if it proved that it is the host that was dialled. */
export function verifyHandshakeResponse(
  headers: IncomingHttpHeaders,
  greeting: HandshakeRequest,
  secret: string,
): Identity | undefined {
  const host = readHeader(headers, HEADERS.host);
  const bootId = readHeader(headers, HEADERS.bootId);
  const proof = readHeader(headers, HEADERS.proof);
  if (host !== greeting.target || !bootId || !proof) return undefined;
  const expected = prove(secret, ['accept', greeting.nonce, host, bootId, greeting.host]);
  return equalProofs(proof, expected) ? { host, bootId } : undefined;
}

function prove(secret: string, parts: readonly string[]): string {
  return createHmac('sha256', secret).update(JSON.stringify(parts)).digest('hex');
}

function equalProofs(left: string, right: string): boolean {
  const a = Buffer.from(left);
  const b = Buffer.from(right);
  return a.length === b.length && timingSafeEqual(a, b);
}

function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  if (typeof value !== 'string') return undefined;
  try {
    return decodeURIComponent(value);
  } catch {
    return undefined;
  }
}
