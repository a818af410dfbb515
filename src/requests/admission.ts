/**
 * Admission of one request id at its home: run it, answer it as a repeat, refuse it or leave its outcome
 * unknown.
 */
import { match } from 'ts-pattern';
import {
  requestIdTime,
  refuse,
  unknownOutcome,
  type Outcome,
  type RefusedOutcome,
  type UnknownOutcome,
} from '../model/index.js';
import { stopServing, type Bucket, type OwnServicePeriod } from './bucket.js';
import type { CopySender } from './copies.js';
import type { RequestIdHomesOptions } from './homes-options.js';
import type { Admission, IdRecord } from './id-record.js';
import type { IdEntry, LocalRequest } from './id-table.js';

const STORE_RETRY_MS = 1000;

type Decision = 'run' | RefusedOutcome | UnknownOutcome;

/** Answers an id that is in the table. */
export async function answerKnownId(entry: IdEntry, digest: string): Promise<Admission> {
  const { record, local } = entry;
  if (record.outcome === undefined && local === undefined) {
    return unknownOutcome('The id was in flight at a former home; ask the team what became of it.');
  }
  // The digest is compared only once the first request is admitted. Before that, another request may have
  // run under this id, because this host may no longer be the home.
  const decision = (await local?.decision) ?? 'run';
  if (decision !== 'run') return decision;
  if (record.digest !== digest) {
    return refuse('id-conflict', 'The id was used for another request; mint a new id.');
  }
  const outcome = local?.outcome ?? Promise.resolve(record.outcome ?? notHomeOutcome());
  return { kind: 'repeat', outcome };
}

/** Returns the answer to an id that is not in the table and must not run; undefined if it may run. */
export function checkNewId(
  id: string,
  service: OwnServicePeriod,
  options: RequestIdHomesOptions,
): RefusedOutcome | UnknownOutcome | undefined {
  const now = options.now();
  const createdAt = requestIdTime(id);
  if (createdAt <= service.knownSince) {
    return unknownOutcome('The id may have run at a former home that has died.');
  }
  // Not refused: the request may have run before its id expired from the table.
  if (now - createdAt > options.maxIdAgeMs + options.maxClockSkewMs) {
    return unknownOutcome('The id is older than the ids that are remembered.');
  }
  if (createdAt - now > options.maxClockSkewMs) {
    return refuse('id-in-future', 'The id was minted in the future; correct the clock.');
  }
  return undefined;
}

/** Creates the entry of a request in flight; must run in the same event-loop turn as the table look-up. */
export function startRequest(record: IdRecord, decide: (entry: IdEntry) => Promise<Decision>) {
  let end: (outcome: Outcome) => void = () => undefined;
  const outcome = new Promise<Outcome>((resolve) => {
    end = resolve;
  });
  const entry: IdEntry = { record };
  const decision = decide(entry);
  const local: LocalRequest = { decision, outcome, end };
  entry.local = local;
  return { entry, decision };
}

/** Decides on a new id: it may run only if it was copied or recorded under an epoch still in force. */
export async function decideNewId(
  bucket: Bucket,
  service: OwnServicePeriod,
  entry: IdEntry,
  context: { readonly options: RequestIdHomesOptions; readonly copies: CopySender },
): Promise<Decision> {
  const { options, copies } = context;
  const copied = await copies.copy(bucket, service.epoch, entry);
  const decision = await match(copied)
    .with('copied', (): Decision => 'run')
    .with('fenced', (): Decision => notHomeOutcome())
    .with('no-copy-host', () => recordInStore(bucket, service, entry, options))
    .exhaustive();
  const isHome = bucket.service === service;
  const result = decision === 'run' && !isHome ? notHomeOutcome() : decision;
  if (result !== 'run' && bucket.table.get(entry.record.team, entry.record.id) === entry) {
    bucket.table.delete(entry);
  }
  return result;
}

async function recordInStore(
  bucket: Bucket,
  service: OwnServicePeriod,
  { record }: IdEntry,
  options: RequestIdHomesOptions,
): Promise<Decision> {
  const created = await options.createRecord(record.team, record.id);
  if (created === 'exists') {
    return unknownOutcome('The id was admitted before by a home that kept no copy.');
  }
  if (created === 'unavailable') return answerWithoutStore(options);
  const confirmed = await options.confirmOwner(bucket.number, service.epoch);
  if (confirmed === 'owner') return 'run';
  if (confirmed === 'unavailable') return answerWithoutStore(options);
  if (bucket.service === service) stopServing(bucket);
  return notHomeOutcome();
}

/**
 * Without a copy host and without the store, a home cannot tell whether another host has taken over
 * the bucket and run the id, unless there is no other host.
 */
function answerWithoutStore(options: RequestIdHomesOptions): RefusedOutcome | UnknownOutcome {
  if (options.isOnlyHost()) {
    return refuse(
      'store-unavailable',
      'No second host and no store can record the id; try again.',
      STORE_RETRY_MS,
    );
  }
  return unknownOutcome('No host and no store confirmed that the id is new; ask for its status.');
}

export function notHomeOutcome(): UnknownOutcome {
  return unknownOutcome('This host is not the home of the id; an earlier attempt may have run.');
}
