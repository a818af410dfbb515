/**
 * Operator keys. A bootstrap key from the settings works only while no operator key is in force, so
 * that the first configuration can be applied and a withdrawn last key locks nobody out for good.
 */
import { timingSafeEqual } from 'node:crypto';
import { createProblem } from '../callers/index.js';
import { findKey, hashSecret } from '../catalogue/index.js';
import type { OperatorBackend } from './backend.js';

/** Id under which changes made with the bootstrap key appear. */
const BOOTSTRAP_ID = 'bootstrap';
const KEYS_RETRY_S = 1;

/** Returns the id of the presented operator key, or the answer that refuses it. */
export function authorizeOperator(
  backend: Pick<OperatorBackend, 'configuration' | 'keysCurrent'>,
  secret: string | undefined,
  bootstrapKeyHash: string | undefined,
): string | Response {
  if (secret === undefined) {
    return refuseKey('Send an operator key as "Authorization: Bearer <key>".');
  }
  const configuration = backend.configuration();
  const bootstraps = matchesHash(secret, bootstrapKeyHash);
  if (configuration === undefined) {
    return bootstraps
      ? BOOTSTRAP_ID
      : refuseKey('This host has no configuration yet; try another.');
  }
  if (!backend.keysCurrent()) {
    return createProblem({
      status: 503,
      title: 'Keys are not current',
      detail: 'This host cannot tell whether keys were withdrawn; try another host or try again.',
      headers: { 'retry-after': String(KEYS_RETRY_S) },
    });
  }
  const key = findKey(configuration, secret);
  if (key?.role === 'operator') return key.id;
  const hasOperator = configuration.keys.some(({ role }) => role === 'operator');
  if (bootstraps && !hasOperator) return BOOTSTRAP_ID;
  return refuseKey('The key is not an operator key in force; ask another operator to grant one.');
}

function matchesHash(secret: string, hash: string | undefined): boolean {
  if (hash === undefined) return false;
  const candidate = Buffer.from(hashSecret(secret), 'hex');
  const expected = Buffer.from(hash, 'hex');
  return candidate.length === expected.length && timingSafeEqual(candidate, expected);
}

function refuseKey(detail: string): Response {
  return createProblem({
    status: 401,
    title: 'An operator key is required',
    detail,
    headers: { 'www-authenticate': 'Bearer' },
  });
}
