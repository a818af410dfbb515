/**
 * Keys that teams and operators present. The configuration holds only hashes of their secrets.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { Configuration, ApiKey } from '../model/index.js';

/** SHA-256 of a secret in lower-case hexadecimal. */
export function hashSecret(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/** Finds the key of a secret; each comparison takes constant time. */
export function findKey(configuration: Configuration, secret: string): ApiKey | undefined {
  const hash = Buffer.from(hashSecret(secret), 'hex');
  return configuration.keys.find((key) => {
    const candidate = Buffer.from(key.hash, 'hex');
    return candidate.length === hash.length && timingSafeEqual(candidate, hash);
  });
}
