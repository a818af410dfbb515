/**
 * Homes of request ids. Each id belongs to a bucket, and each bucket has one home, which admits an
 * id at most once. A home runs a first sight only after another host has acknowledged a copy under
 * the home's epoch; a takeover fences that epoch on every live host first, so that a former home
 * that resumes from a pause gets no acknowledgement.
 */
import type { Outcome } from '../model/index.js';
import {
  answerKnown,
  beginRequest,
  decideFirstSight,
  judgeUnseen,
  movedHome,
} from './admission.js';
import { createBucket, keepCopy, mergeRecord, raiseEpoch, type Bucket } from './bucket.js';
import { createCopies, listRecords, type Copies } from './copies.js';
import type { HomesOptions } from './homes-options.js';
import type {
  Admission,
  FenceMessage,
  FenceReply,
  RememberMessage,
  RememberReply,
} from './id-record.js';
import { BUCKETS, bucketOf } from './locate-home.js';

/** The homes on one host, and the copies that it keeps for other homes. */
export interface Homes {
  /** Makes the admission decision for a request id at its home, before anything is sent. */
  admit(team: string, id: string, digest: string): Promise<Admission>;
  /** Ends an admitted request; repeats get the same outcome. */
  complete(team: string, id: string, outcome: Outcome): void;
  /**
   * Becomes the home of a bucket. Rejects if a live host did not acknowledge the fence or if there
   * is a later home; the caller tries again while it holds the claim.
   */
  takeOver(bucket: number, epoch: number): Promise<void>;
  /** Stops serving a bucket whose claim was lost. */
  stop(bucket: number, epoch: number): void;
  /** On the host that keeps the copy. */
  remember(message: RememberMessage): RememberReply;
  /** On every host of the data centre, former homes included. */
  fence(message: FenceMessage): FenceReply;
  /** Sends outcomes that wait to be copied, before the host leaves. */
  flush(): Promise<void>;
  /** Ids in memory, copies included. */
  size(): number;
}

export function createHomes(options: HomesOptions): Homes {
  const buckets = Array.from({ length: BUCKETS }, (_, number) => createBucket(number, options));
  const copies = createCopies(options);
  return {
    admit: (team, id, digest) => {
      const bucket = bucketAt(buckets, bucketOf(team, id));
      return admit(bucket, { team, id, digest }, { options, copies });
    },
    complete: (team, id, outcome) => {
      const bucket = bucketAt(buckets, bucketOf(team, id));
      const entry = bucket.table.get(team, id);
      if (entry?.local === undefined) return;
      entry.record = { ...entry.record, outcome };
      entry.local.end(outcome);
      delete entry.local;
      copies.queueOutcome(bucket, entry);
    },
    takeOver: (number, epoch) => takeOver(bucketAt(buckets, number), epoch, options),
    stop: (number, epoch) => {
      const bucket = bucketAt(buckets, number);
      if (bucket.service !== undefined && bucket.service.epoch <= epoch) bucket.service = undefined;
    },
    remember: (message) => remember(bucketAt(buckets, message.bucket), message, options),
    fence: (message) => fence(bucketAt(buckets, message.bucket), message),
    flush: () => copies.flush(),
    size: () => buckets.reduce((sum, { table }) => sum + table.size, 0),
  };
}

function bucketAt(buckets: readonly Bucket[], number: number): Bucket {
  const bucket = buckets[number];
  if (bucket === undefined) throw new Error(`there is no bucket ${String(number)}`);
  return bucket;
}

async function admit(
  bucket: Bucket,
  record: { readonly team: string; readonly id: string; readonly digest: string },
  context: { readonly options: HomesOptions; readonly copies: Copies },
): Promise<Admission> {
  const { options } = context;
  bucket.table.forgetOld(options.now());
  raiseEpoch(bucket, options.epochOf(bucket.number) ?? 0);
  const { service } = bucket;
  if (service === undefined) return movedHome();
  const known = bucket.table.get(record.team, record.id);
  if (known !== undefined) return answerKnown(known, record.digest);
  const verdict = judgeUnseen(record.id, service, options);
  if (verdict !== undefined) return verdict;
  // No await between the look-up and this: two admissions of one id share the first one's decision.
  const { entry, decision } = beginRequest(record, (begun) =>
    decideFirstSight(bucket, service, begun, context),
  );
  bucket.table.set(entry);
  return decision;
}

async function takeOver(bucket: Bucket, epoch: number, options: HomesOptions): Promise<void> {
  if (bucket.service?.epoch === epoch) return;
  raiseEpoch(bucket, epoch);
  await Promise.all(
    options.copyHosts(bucket.number).map((host) => fenceHost(bucket, epoch, host, options)),
  );
  const claimed = options.epochOf(bucket.number);
  if (claimed === undefined) {
    throw new Error('this host must hear its peers and read the claims before it takes over');
  }
  raiseEpoch(bucket, claimed);
  if (bucket.epoch > epoch) {
    throw new Error(`bucket ${String(bucket.number)} has a home with a higher epoch`);
  }
  // The former home may have admitted ids until the last host was fenced.
  bucket.service = { epoch, knownSince: options.now() + options.maxClockSkewMs };
}

async function fenceHost(
  bucket: Bucket,
  epoch: number,
  host: string,
  options: HomesOptions,
): Promise<void> {
  const reply = await options.sendFence(host, { bucket: bucket.number, epoch });
  if (reply !== undefined) {
    raiseEpoch(bucket, reply.epoch);
    for (const record of reply.records) mergeRecord(bucket, record);
  } else if (options.copyHosts(bucket.number).includes(host)) {
    throw new Error(`${host} is live and did not acknowledge the fence`);
  }
}

function remember(bucket: Bucket, message: RememberMessage, options: HomesOptions): RememberReply {
  const claimed = options.epochOf(bucket.number);
  if (claimed === undefined) return { kind: 'not-ready' };
  raiseEpoch(bucket, Math.max(claimed, message.epoch));
  if (message.epoch < bucket.epoch) return { kind: 'fenced', epoch: bucket.epoch };
  bucket.table.forgetOld(options.now());
  for (const record of message.records) keepCopy(bucket, record);
  return { kind: 'remembered' };
}

function fence(bucket: Bucket, message: FenceMessage): FenceReply {
  if (message.epoch < bucket.epoch) return { epoch: bucket.epoch, records: [] };
  raiseEpoch(bucket, message.epoch);
  return { epoch: bucket.epoch, records: listRecords(bucket) };
}
