/**
 * API keys of teams and operators. The configuration contains only hashes of their secrets.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { Configuration, ApiKey } from '../model/index.js';

/** SHA-256 of a secret in lower-case hexadecimal. */
export function hashSecret(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

/** Finds the key with this secret; hashes are compared in constant time. */
export function findKey(configuration: Configuration, secret: string): ApiKey | undefined {
  const hash = Buffer.from(hashSecret(secret), 'hex');
  return configuration.keys.find((key) => {
    const candidate = Buffer.from(key.hash, 'hex');
    return candidate.length === hash.length && timingSafeEqual(candidate, hash);
  });
}
