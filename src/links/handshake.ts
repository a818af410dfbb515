/**
 * Mutual authentication in the headers of the WebSocket upgrade. Each side proves that it knows the
 * cluster secret by an HMAC over its role, the dialler's nonce and both identities. The secret itself
 * is never sent, not even to a wrong address. The proof covers the id of the dialled host, so that a
 * host that has taken over another host's address is not mistaken for it.
 *
 * Without TLS, the messages that follow are neither encrypted nor protected against modification.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';

/** Identifies one process of a host. */
export interface Identity {
  readonly host: string;
  readonly bootId: string;
}

/** The dialler's headers of the handshake. */
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
  const proof = computeProof(secret, ['dial', nonce, self.host, self.bootId, target]);
  return { ...self, nonce, target, proof };
}

export function handshakeRequestHeaders(request: HandshakeRequest): Record<string, string> {
  return {
    [HEADERS.host]: encodeURIComponent(request.host),
    [HEADERS.bootId]: encodeURIComponent(request.bootId),
    [HEADERS.nonce]: request.nonce,
    [HEADERS.target]: encodeURIComponent(request.target),
    [HEADERS.proof]: request.proof,
  };
}

/** Returns the handshake request, or undefined if it is incomplete or its proof is wrong. */
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
  const expected = computeProof(secret, ['dial', nonce, host, bootId, target]);
  return proofsEqual(proof, expected) ? { host, bootId, nonce, target, proof } : undefined;
}

/** Returns the listener's header lines for the response. */
export function handshakeResponseHeaders(
  self: Identity,
  request: HandshakeRequest,
  secret: string,
): string[] {
  const proof = computeProof(secret, [
    'accept',
    request.nonce,
    self.host,
    self.bootId,
    request.host,
  ]);
  return [
    `${HEADERS.host}: ${encodeURIComponent(self.host)}`,
    `${HEADERS.bootId}: ${encodeURIComponent(self.bootId)}`,
    `${HEADERS.proof}: ${proof}`,
  ];
}

/**
 * Returns the listener's identity, or undefined if it did not prove that it is the host that was
 * dialled.
 */
export function verifyHandshakeResponse(
  headers: IncomingHttpHeaders,
  request: HandshakeRequest,
  secret: string,
): Identity | undefined {
  const host = readHeader(headers, HEADERS.host);
  const bootId = readHeader(headers, HEADERS.bootId);
  const proof = readHeader(headers, HEADERS.proof);
  if (host !== request.target || !bootId || !proof) return undefined;
  const expected = computeProof(secret, ['accept', request.nonce, host, bootId, request.host]);
  return proofsEqual(proof, expected) ? { host, bootId } : undefined;
}

function computeProof(secret: string, parts: readonly string[]): string {
  return createHmac('sha256', secret).update(JSON.stringify(parts)).digest('hex');
}

function proofsEqual(left: string, right: string): boolean {
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
