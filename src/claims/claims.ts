/**
 * Claims of one data centre, held in the record `claims/<data centre>` and changed by
 * compare-and-swap. Claims do not expire: while the store is away, every owner goes on. Safety does
 * not depend on this module's view of time, because workers and copy hosts refuse lower epochs.
 */
import type { ResultAsync } from 'neverthrow';
import { decodeRecord, updateRecord, type StoreError } from '../platform/index.js';
import {
  EMPTY_RECORD,
  decodeClaims,
  encodeClaims,
  parseClaims,
  type Claim,
  type ClaimRecord,
} from './claim.js';
import { decideClaims, releaseClaims, settleClaims, type Owner } from './decide-claims.js';
import { createContact } from './contact.js';
import { createLiveness } from './liveness.js';
import type { ClaimsOptions } from './options.js';
import { createOwnership, describeError } from './ownership.js';

/** This host's part in the claims of its data centre. */
export interface Claims {
  /** Reads the claim from the store. */
  readOwner(subject: string): ResultAsync<Claim | undefined, StoreError>;
  /**
   * Epoch of the claim as last read, 0 if there is none. Undefined after a start, a pause or a loss
   * of contact until this host has read the claims and heard its peers again: another host may then
   * have raised the epoch without this one hearing of it.
   */
  epochOf(subject: string): number | undefined;
  /**
   * Notes that this process runs and which peers it hears; a gap between two calls is a pause. Called
   * with each heartbeat and not with `reconcile`, which takes long while the store hangs.
   */
  noteAlive(): void;
  /** Claims of this host whose `onGain` listeners have finished. */
  owned(): readonly Claim[];
  /** The claim last read, which is of a former owner while nobody has claimed the subject anew. */
  ownerOf(subject: string): Claim | undefined;
  /**
   * Reads the record, claims what falls to this host, hands over what falls to others, and waits
   * for the listeners of new claims. A further step may begin before the listeners of an earlier
   * one have finished. One read, and a write only if something changes.
   */
  reconcile(): Promise<void>;
  /**
   * Gives subjects up. A later step claims a subject again if it falls to this host and this host
   * is not leaving.
   */
  release(subjects: readonly string[]): Promise<void>;
  /** Removes `from` from claims of this host, once the allotments are settled. */
  settle(subjects: readonly string[]): Promise<void>;
  /**
   * False while hosts may be silent only because this one has just started or was paused. Their work
   * must not be taken over then.
   */
  isMembershipReliable(): boolean;
  /** All claims last read. */
  all(): readonly Claim[];
  /**
   * Listeners run one after the other before the subject counts as owned. If one fails, all of them
   * run again in the next step.
   */
  onGain(listener: (claim: Claim) => Promise<void>): void;
  /** Called when the record shows another owner, a higher epoch or a release. */
  onLoss(listener: (claim: Claim) => void): void;
}

/** Releases in progress; with a step per second, a host gets its share of 200 subjects within 10 s. */
const DEFAULT_MAX_RELEASED = 8;
export function createClaims(options: ClaimsOptions): Claims {
  const self: Owner = { host: options.host.id, bootId: options.bootId };
  const ownership = createOwnership(self, options.log);
  const liveness = createLiveness(options, self);
  const contact = createContact(options);
  const update = createRecordUpdater(options, (current) => {
    contact.noteRead();
    liveness.observe(ownership.record(), current);
  });
  let lastStep: Promise<void> = Promise.resolve();

  /** Runs one read-modify-write at a time. */
  function change(edit: (current: ClaimRecord) => ClaimRecord | undefined): Promise<void> {
    const step = lastStep.then(async () => {
      const next = await update(edit);
      if (next === undefined) return;
      ownership.apply(next);
      liveness.noteRead();
    });
    lastStep = step.catch(() => undefined);
    return step;
  }

  async function reconcile(): Promise<void> {
    liveness.tick();
    await change((current) => {
      if (!liveness.isInformed()) return undefined;
      return decideClaims(current, {
        self,
        subjects: options.subjects(),
        candidates: liveness.candidates(),
        isLive: liveness.isLive,
        rendezvousOrder: options.rendezvousOrder,
        isOwned: ownership.isOwned,
        maxReleased: options.maxReleased ?? DEFAULT_MAX_RELEASED,
      });
    });
    await ownership.takeOverGained();
  }

  return {
    owned: ownership.owned,
    ownerOf: (subject) => ownership.record()?.claims.get(subject),
    reconcile,
    release: (subjects) => change((current) => releaseClaims(current, self, subjects)),
    settle: (subjects) => change((current) => settleClaims(current, self, subjects)),
    noteAlive: () => {
      liveness.tick();
      contact.noteStep();
    },
    readOwner: (subject) =>
      options.store.get(recordKey(options)).map((found) => {
        if (found === undefined) return undefined;
        return decodeClaims(decodeRecord(found.value, parseClaims)).claims.get(subject);
      }),
    epochOf: (subject) => {
      if (!liveness.isCurrent() || !contact.isCurrent()) return undefined;
      return ownership.record()?.claims.get(subject)?.epoch ?? 0;
    },
    isMembershipReliable: liveness.isInformed,
    all: () => [...(ownership.record()?.claims.values() ?? [])],
    onGain: ownership.onGain,
    onLoss: ownership.onLoss,
  };
}

function recordKey({ host }: ClaimsOptions): string {
  return `claims/${host.dataCentre}`;
}

/** Reads and writes the record; undefined if that failed. Logs the begin and the end of an outage. */
function createRecordUpdater(options: ClaimsOptions, observe: (current: ClaimRecord) => void) {
  let isAway = false;

  function report(reason: string | undefined): void {
    if (reason !== undefined && !isAway) {
      options.log.warn('Cannot read or change the claims; the present ones stay in force.', {
        reason,
      });
    }
    if (reason === undefined && isAway) options.log.info('The claims can be read again.');
    isAway = reason !== undefined;
  }

  return async (edit: (current: ClaimRecord) => ClaimRecord | undefined) => {
    try {
      const result = await updateRecord(options.store, {
        key: recordKey(options),
        parse: parseClaims,
        change: (stored) => {
          const current = stored === undefined ? EMPTY_RECORD : decodeClaims(stored);
          observe(current);
          const next = edit(current);
          return next && encodeClaims(next);
        },
      });
      report(result.isErr() ? result.error.detail : undefined);
      if (result.isErr()) return undefined;
      return result.value === undefined ? EMPTY_RECORD : decodeClaims(result.value);
    } catch (error) {
      report(describeError(error));
      return undefined;
    }
  };
}
