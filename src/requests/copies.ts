/**
 * Replicates request ids to other hosts. A request in flight is copied before it may run. Outcomes are
 * copied in batches, since the loss of one only makes a repeat _unknown_.
 */
import { raiseEpoch, type Bucket } from './bucket.js';
import type { RequestIdHomesOptions } from './homes-options.js';
import type { IdRecord, RememberReply } from './id-record.js';
import type { IdEntry } from './id-table.js';

const DEFAULT_COPY_LINGER_MS = 20;
/** Larger answers are not copied, because a link drops a peer whose buffer exceeds 4 MiB. */
const MAX_COPIED_BODY_BYTES = 65_536;
/** Maximum bytes of answers in a reply to a fence; the remaining ids are sent without their answers. */
const MAX_FENCE_BODY_BYTES = 1_048_576;

/** Result of copying a request in flight. */
export type CopyResult = 'copied' | 'fenced' | 'no-copy-host';

export interface CopySender {
  /** Copies a request in flight to the first copy host that answers. */
  copy(bucket: Bucket, epoch: number, entry: IdEntry): Promise<CopyResult>;
  /** Adds an outcome to the next batch. */
  queueOutcome(bucket: Bucket, entry: IdEntry): void;
  /** Sends the current batch immediately. */
  flush(): Promise<void>;
}

export function createCopySender(options: RequestIdHomesOptions): CopySender {
  const waiting = new Map<Bucket, IdEntry[]>();
  let timer: NodeJS.Timeout | undefined;

  async function send(
    host: string,
    bucket: Bucket,
    epoch: number,
    records: readonly IdRecord[],
  ): Promise<RememberReply | undefined> {
    const reply = await options.sendRemember(host, { bucket: bucket.number, epoch, records });
    if (reply?.kind === 'fenced') raiseEpoch(bucket, reply.epoch);
    return reply;
  }

  async function copy(bucket: Bucket, epoch: number, entry: IdEntry): Promise<CopyResult> {
    for (const host of options.copyHosts(bucket.number)) {
      const reply = await send(host, bucket, epoch, [entry.record]);
      if (reply?.kind === 'fenced') return 'fenced';
      if (reply?.kind !== 'remembered') continue;
      entry.copyHost = host;
      return 'copied';
    }
    return 'no-copy-host';
  }

  async function flush(): Promise<void> {
    clearTimeout(timer);
    timer = undefined;
    const batches = [...waiting];
    waiting.clear();
    await Promise.all(batches.map(([bucket, entries]) => copyOutcomes(bucket, entries)));
  }

  async function copyOutcomes(bucket: Bucket, entries: readonly IdEntry[]): Promise<void> {
    const epoch = bucket.service?.epoch;
    if (epoch === undefined) return;
    const byHost = new Map<string, IdRecord[]>();
    for (const { copyHost, record } of entries) {
      if (copyHost === undefined) continue;
      const records = byHost.get(copyHost) ?? [];
      byHost.set(copyHost, [...records, limitBody(record, MAX_COPIED_BODY_BYTES)]);
    }
    await Promise.all([...byHost].map(([host, records]) => send(host, bucket, epoch, records)));
  }

  return {
    copy,
    flush,
    queueOutcome: (bucket, entry) => {
      const entries = waiting.get(bucket) ?? [];
      entries.push(entry);
      waiting.set(bucket, entries);
      timer ??= setTimeout(() => void flush(), options.copyBatchDelayMs ?? DEFAULT_COPY_LINGER_MS);
    },
  };
}

/** Lists the records of a bucket for its next home. */
export function listRecords(bucket: Bucket): readonly IdRecord[] {
  let bytesLeft = MAX_FENCE_BODY_BYTES;
  return [...bucket.table.entries()].map(({ record }) => {
    const limited = limitBody(record, Math.min(bytesLeft, MAX_COPIED_BODY_BYTES));
    bytesLeft -= bodyBytes(limited);
    return limited;
  });
}

function limitBody(record: IdRecord, maxBytes: number): IdRecord {
  if (bodyBytes(record) <= maxBytes) return record;
  const { team, id, digest } = record;
  return { team, id, digest };
}

function bodyBytes({ outcome }: IdRecord): number {
  return outcome?.kind === 'done' ? outcome.body.byteLength : 0;
}
