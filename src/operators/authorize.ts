/**
 * Authorization by operator keys. A bootstrap key from the settings is accepted only while no operator
 * key is in force, so that the first configuration can be applied and operators are not locked out for
 * good when the last key is withdrawn.
 */
import { timingSafeEqual } from 'node:crypto';
import { createProblem } from '../callers/index.js';
import { findKey, hashSecret } from '../catalogue/index.js';
import type { OperatorBackend } from './backend.js';

/** Key id that is recorded for changes made with the bootstrap key. */
const BOOTSTRAP_ID = 'bootstrap';
const KEYS_RETRY_AFTER_S = 1;

/** Returns the id of the presented operator key, or the error response if it is not accepted. */
export function authorizeOperator(
  backend: Pick<OperatorBackend, 'configuration' | 'keysCurrent'>,
  secret: string | undefined,
  bootstrapKeyHash: string | undefined,
): string | Response {
  if (secret === undefined) {
    return createUnauthorizedProblem('Send an operator key as "Authorization: Bearer <key>".');
  }
  const configuration = backend.configuration();
  const isBootstrapKey = matchesHash(secret, bootstrapKeyHash);
  if (configuration === undefined) {
    return isBootstrapKey
      ? BOOTSTRAP_ID
      : createUnauthorizedProblem('This host has no configuration yet; try another.');
  }
  if (!backend.keysCurrent()) {
    return createProblem({
      status: 503,
      title: 'Keys are not current',
      detail: 'This host cannot tell whether keys were withdrawn; try another host or try again.',
      headers: { 'retry-after': String(KEYS_RETRY_AFTER_S) },
    });
  }
  const key = findKey(configuration, secret);
  if (key?.role === 'operator') return key.id;
  const hasOperatorKey = configuration.keys.some(({ role }) => role === 'operator');
  if (isBootstrapKey && !hasOperatorKey) return BOOTSTRAP_ID;
  return createUnauthorizedProblem(
    'The key is not an operator key in force; ask another operator to grant one.',
  );
}

function matchesHash(secret: string, hash: string | undefined): boolean {
  if (hash === undefined) return false;
  const candidate = Buffer.from(hashSecret(secret), 'hex');
  const expected = Buffer.from(hash, 'hex');
  return candidate.length === expected.length && timingSafeEqual(candidate, expected);
}

function createUnauthorizedProblem(detail: string): Response {
  return createProblem({
    status: 401,
    title: 'An operator key is required',
    detail,
    headers: { 'www-authenticate': 'Bearer' },
  });
}
