/**
 * Authenticates callers by their team's key, authorizes submissions, and runs the checks that need
 * no queue.
 */
import type { Context } from 'hono';
import { findKey } from '../catalogue/index.js';
import {
  requestIdTime,
  refuse,
  unknownOutcome,
  type CatalogueEntry,
  type Configuration,
  type RefusedOutcome,
  type UnknownOutcome,
} from '../model/index.js';
import type { CallerBackend, CallerLimits, CallerOptions } from './backend.js';
import type { Submission } from './submission.js';

const KEYS_RETRY_AFTER_MS = 1000;

/** The entry that a submission names and the team that is charged for the work. */
export interface Authorization {
  readonly entry: CatalogueEntry;
  readonly team: string;
}

/** Runs all checks of a submission that are possible before the request is queued. */
export function checkSubmission(
  options: CallerOptions,
  context: Context,
  submission: Submission,
): Authorization | RefusedOutcome | UnknownOutcome {
  const { backend, limits } = options;
  const configuration = backend.configuration();
  if (configuration === undefined) {
    return refuse(
      'keys-not-current',
      'This host has no configuration yet; try again.',
      KEYS_RETRY_AFTER_MS,
    );
  }
  const entry = configuration.entries.get(submission.entry);
  if (entry === undefined) {
    return refuse(
      'unknown-entry',
      `The catalogue has no entry "${submission.entry}"; correct the name.`,
    );
  }
  const team = authorize(backend, configuration, entry, readBearerToken(context));
  if (typeof team !== 'string') return team;
  if (submission.input.byteLength > entry.maxInputBytes) return tooLarge(entry.maxInputBytes);
  return checkRequestIdAge(submission.id, options.now(), limits) ?? { entry, team };
}

/**
 * Checks what can be checked of a submission before its body is read: the entry, if it is known, and the key. Returns the
 * refusal, which implies nothing about earlier attempts, because the id of the request may not be known.
 */
export function checkAccessBeforeBody(
  { backend }: CallerOptions,
  context: Context,
  entryName: string | undefined,
): RefusedOutcome | undefined {
  const configuration = backend.configuration();
  // A refusal for these reasons needs the id of the request, which the body may have.
  if (configuration === undefined || !backend.keysCurrent()) return undefined;
  const secret = readBearerToken(context);
  if (entryName === undefined) {
    if ([...configuration.entries.values()].some(({ open }) => open)) return undefined;
    const key = authenticateSubmitter(backend, configuration, secret);
    return 'kind' in key ? key : undefined;
  }
  const entry = configuration.entries.get(entryName);
  if (entry === undefined) return undefined;
  const team = authorize(backend, configuration, entry, secret);
  return typeof team === 'string' ? undefined : team;
}

/** Returns the team that is charged for the work, or the refusal if the key does not allow it. */
function authorize(
  backend: CallerBackend,
  configuration: Configuration,
  entry: CatalogueEntry,
  secret: string | undefined,
): string | RefusedOutcome {
  if (entry.open) return entry.owner;
  const key = authenticateSubmitter(backend, configuration, secret);
  if ('kind' in key) return key;
  if (key.team === entry.owner) return key.team;
  return refuse(
    'wrong-team',
    `The key belongs to team "${key.team}" and the entry "${entry.name}" to another team; use a key of the owner.`,
  );
}

function authenticateSubmitter(
  backend: CallerBackend,
  configuration: Configuration,
  secret: string | undefined,
): { readonly team: string } | RefusedOutcome {
  if (secret === undefined) {
    return refuse('not-authorized', 'Send the key of a team as "Authorization: Bearer <key>".');
  }
  if (!backend.keysCurrent()) {
    return refuse(
      'keys-not-current',
      'This host cannot tell whether keys were withdrawn; try another host or try again.',
      KEYS_RETRY_AFTER_MS,
    );
  }
  const key = findKey(configuration, secret);
  if (key?.role !== 'submitter') {
    return refuse('not-authorized', 'The key is not in force; ask an operator for a new one.');
  }
  return key;
}

/**
 * Checks the creation time in the id. An id that is too old is answered `unknown` instead of refused,
 * because its request may have run and its record may have been removed.
 */
function checkRequestIdAge(
  id: string | undefined,
  now: number,
  { maxIdAgeMs, maxClockSkewMs }: CallerLimits,
): RefusedOutcome | UnknownOutcome | undefined {
  if (id === undefined) return undefined;
  const age = now - requestIdTime(id);
  if (age > maxIdAgeMs) {
    return unknownOutcome(
      `The id is older than ${String(maxIdAgeMs)} ms, so a repeat can no longer be told from a new request. This submission did not run; mint a new id if no earlier one did.`,
    );
  }
  if (age < -maxClockSkewMs) {
    return refuse(
      'id-in-future',
      `The id was minted more than ${String(maxClockSkewMs)} ms in the future; correct the clock.`,
    );
  }
  return undefined;
}

/**
 * Returns the team of the presented key. Requests of open entries belong to the entry's owner and are
 * read and cancelled with the owner's key.
 */
export function authenticateCaller(
  options: CallerOptions,
  context: Context,
): string | RefusedOutcome {
  const configuration = options.backend.configuration();
  if (configuration === undefined) {
    return refuse('keys-not-current', 'This host has no configuration yet.', KEYS_RETRY_AFTER_MS);
  }
  const key = authenticateSubmitter(options.backend, configuration, readBearerToken(context));
  return 'kind' in key ? key : key.team;
}

export function tooLarge(limit: number): RefusedOutcome {
  return refuse('too-large', `The input is larger than ${String(limit)} bytes; send less.`);
}

/** Returns the bearer token of the `Authorization` header. */
export function readBearerToken(context: Context): string | undefined {
  const header = context.req.header('authorization');
  return header?.startsWith('Bearer ') === true ? header.slice('Bearer '.length) : undefined;
}
