/**
 * Homes of request ids. Each id belongs to a bucket, and each bucket has one home: the host that owns the
 * bucket and admits each of its ids at most once. A home runs a new id only after another host has
 * acknowledged a copy under the home's epoch. A takeover first fences that epoch on every live host, so
 * that a former home that resumes from a pause gets no acknowledgement.
 */
import type { Outcome } from '../model/index.js';
import {
  answerKnownId,
  startRequest,
  decideNewId,
  checkNewId,
  notHomeOutcome,
} from './admission.js';
import {
  createBucket,
  stopServing,
  storeCopy,
  mergeRecord,
  raiseEpoch,
  type Bucket,
} from './bucket.js';
import { createCopySender, listRecords, type CopySender } from './copies.js';
import type { RequestIdHomesOptions } from './homes-options.js';
import type {
  Admission,
  FenceMessage,
  FenceReply,
  RememberMessage,
  RememberReply,
  ServicePeriod,
} from './id-record.js';
import { BUCKETS, bucketOf } from './locate-home.js';

const FIRST_EPOCH = 1;

/** The buckets of which this host is the home, and the copies that it keeps for other homes. */
export interface RequestIdHomes {
  /** Decides on the admission of a request id at its home, before anything is sent to a worker. */
  admit(team: string, id: string, digest: string): Promise<Admission>;
  /** Records the outcome of an admitted request; repeats get the same outcome. */
  complete(team: string, id: string, outcome: Outcome): void;
  /**
   * Makes this host the home of a bucket. Rejects if a live host did not acknowledge the fence or if
   * there is a later home; the caller retries while it holds the claim. If the former home answers, even
   * while it leaves, this host knows every id that the former home admitted.
   */
  takeOver(bucket: number, epoch: number, formerHome?: string): Promise<void>;
  /** Stops serving a bucket whose claim was lost. */
  stop(bucket: number, epoch: number): void;
  /** Handles a message that copies records to this host. */
  remember(message: RememberMessage): RememberReply;
  /** Handles the fence of a takeover, which goes to every host of the data centre, former homes included. */
  fence(message: FenceMessage): FenceReply;
  /** Copies all queued outcomes; called before the host leaves. */
  flush(): Promise<void>;
  /** Number of ids in memory, copies included. */
  size(): number;
}

export function createRequestIdHomes(options: RequestIdHomesOptions): RequestIdHomes {
  const buckets = Array.from({ length: BUCKETS }, (_, number) => createBucket(number, options));
  const copies = createCopySender(options);
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
    takeOver: (number, epoch, formerHome) =>
      takeOver(bucketAt(buckets, number), { epoch, formerHome }, options),
    stop: (number, epoch) => {
      const bucket = bucketAt(buckets, number);
      if (bucket.service !== undefined && bucket.service.epoch <= epoch) stopServing(bucket);
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
  context: { readonly options: RequestIdHomesOptions; readonly copies: CopySender },
): Promise<Admission> {
  const { options } = context;
  bucket.table.removeExpired(options.now());
  raiseEpoch(bucket, options.epochOf(bucket.number) ?? 0);
  const { service } = bucket;
  if (service === undefined) return notHomeOutcome();
  const known = bucket.table.get(record.team, record.id);
  if (known !== undefined) return answerKnownId(known, record.digest);
  const rejection = checkNewId(record.id, service, options);
  if (rejection !== undefined) return rejection;
  // There must be no await between the look-up and this, so that concurrent admissions of one id share
  // one decision.
  const { entry, decision } = startRequest(record, (started) =>
    decideNewId(bucket, service, started, context),
  );
  bucket.table.set(entry);
  return decision;
}

interface Takeover {
  readonly epoch: number;
  readonly formerHome: string | undefined;
}

async function takeOver(
  bucket: Bucket,
  { epoch, formerHome }: Takeover,
  options: RequestIdHomesOptions,
): Promise<void> {
  if (bucket.service?.epoch === epoch) return;
  raiseEpoch(bucket, epoch);
  const hosts = new Set(options.copyHosts(bucket.number));
  if (formerHome !== undefined && formerHome !== options.host) hosts.add(formerHome);
  const periods = await Promise.all(
    [...hosts].map((host) => fenceHost(bucket, epoch, host, options)),
  );
  const claimed = options.epochOf(bucket.number);
  if (claimed === undefined) {
    throw new Error('this host must hear its peers and read the claims before it takes over');
  }
  raiseEpoch(bucket, claimed);
  if (bucket.epoch > epoch) {
    throw new Error(`bucket ${String(bucket.number)} has a home with a higher epoch`);
  }
  const knownSince = findKnownSince(epoch, [bucket.lastService, ...periods]);
  // If the former home did not answer, it may have admitted ids until the last host was fenced.
  bucket.service = { epoch, knownSince: knownSince ?? options.now() + options.maxClockSkewMs };
}

/**
 * Each owner's epoch is one higher than the previous one, so the host that served the previous epoch is
 * the former home, and its merged reply contained all ids that it admitted. Nothing was admitted before
 * the first epoch.
 */
function findKnownSince(
  epoch: number,
  served: readonly (ServicePeriod | undefined)[],
): number | undefined {
  if (epoch === FIRST_EPOCH) return 0;
  return served.find((service) => service?.epoch === epoch - 1)?.knownSince;
}

async function fenceHost(
  bucket: Bucket,
  epoch: number,
  host: string,
  options: RequestIdHomesOptions,
): Promise<ServicePeriod | undefined> {
  const reply = await options.sendFence(host, { bucket: bucket.number, epoch });
  if (reply !== undefined) {
    raiseEpoch(bucket, reply.epoch);
    for (const record of reply.records) mergeRecord(bucket, record);
    return reply.served;
  }
  if (options.copyHosts(bucket.number).includes(host)) {
    throw new Error(`${host} is live and did not acknowledge the fence`);
  }
  return undefined;
}

function remember(
  bucket: Bucket,
  message: RememberMessage,
  options: RequestIdHomesOptions,
): RememberReply {
  const claimed = options.epochOf(bucket.number);
  if (claimed === undefined) return { kind: 'not-ready' };
  raiseEpoch(bucket, Math.max(claimed, message.epoch));
  if (message.epoch < bucket.epoch) return { kind: 'fenced', epoch: bucket.epoch };
  bucket.table.removeExpired(options.now());
  for (const record of message.records) storeCopy(bucket, record);
  return { kind: 'remembered' };
}

function fence(bucket: Bucket, message: FenceMessage): FenceReply {
  if (message.epoch < bucket.epoch) return { epoch: bucket.epoch, records: [] };
  raiseEpoch(bucket, message.epoch);
  const served = bucket.lastService;
  return { epoch: bucket.epoch, records: listRecords(bucket), ...(served && { served }) };
}
