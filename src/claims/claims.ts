/**
 * Manages the claims of one data centre. They are stored in the record `claims/<data centre>` and
 * changed by compare-and-swap. Claims do not expire, so owners continue while the store is
 * unavailable. Safety does not depend on clocks, because workers and the hosts that keep copies of
 * request ids reject lower epochs.
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
import { createContactTracker } from './contact.js';
import { createLiveness } from './liveness.js';
import type { ClaimsOptions } from './options.js';
import { createOwnership, describeError } from './ownership.js';

/** The claims of the data centre as seen and changed by this host. */
export interface Claims {
  /** Reads the claim from the store. */
  readOwner(subject: string): ResultAsync<Claim | undefined, StoreError>;
  /**
   * Returns the epoch of the claim as last read, or 0 if there is no claim. Returns undefined after
   * a start, a pause or a loss of contact until this host has read the claims and received
   * heartbeats of its peers again, because another host may have raised the epoch in the meantime.
   */
  epochOf(subject: string): number | undefined;
  /**
   * Records that this process is running and whether it receives heartbeats of peers. A long gap
   * between two calls counts as a pause of the process. Called with each heartbeat rather than from
   * `reconcile`, which takes long while the store does not respond.
   */
  noteAlive(): void;
  /** Returns the claims of this host whose `onGain` listeners have finished. */
  owned(): readonly Claim[];
  /**
   * Returns the claim as last read. It names the former owner until another host claims the
   * subject.
   */
  ownerOf(subject: string): Claim | undefined;
  /**
   * Reads the record, claims the subjects assigned to this host, releases those assigned to others,
   * and waits for the listeners of new claims. Another call may start before the listeners of an
   * earlier one have finished. Costs one read, and one write if something changes.
   */
  reconcile(): Promise<void>;
  /**
   * Releases subjects. A later `reconcile` claims a subject again if it is assigned to this host
   * and this host is not leaving.
   */
  release(subjects: readonly string[]): Promise<void>;
  /** Removes `from` from claims of this host once the allotments are settled. */
  settle(subjects: readonly string[]): Promise<void>;
  /**
   * Returns false shortly after a start or a pause of this process, when it may simply not have
   * received the heartbeats of live hosts yet. Work of silent hosts must not be taken over then.
   */
  isMembershipReliable(): boolean;
  /** Returns all claims as last read. */
  all(): readonly Claim[];
  /**
   * Registers a listener for new claims. Listeners run one after another before the subject counts
   * as owned. If one fails, all of them run again in the next `reconcile`.
   */
  onGain(listener: (claim: Claim) => Promise<void>): void;
  /**
   * Registers a listener for claims whose record shows another owner, a higher epoch or a release.
   */
  onLoss(listener: (claim: Claim) => void): void;
}

/**
 * Limit of released subjects that are not claimed yet. With one `reconcile` per second, a new host
 * gets its share of 200 subjects within 10 s.
 */
const DEFAULT_MAX_RELEASED = 8;

export function createClaims(options: ClaimsOptions): Claims {
  const self: Owner = { host: options.host.id, bootId: options.bootId };
  const ownership = createOwnership(self, options.log);
  const liveness = createLiveness(options, self);
  const contact = createContactTracker(options);
  const update = createRecordUpdater(options, (current) => {
    contact.noteRead();
    liveness.recordSilentClaims(ownership.record(), current);
  });
  let lastUpdate: Promise<void> = Promise.resolve();

  /** Queues an update of the record, so that only one read-modify-write runs at a time. */
  function enqueueUpdate(edit: (current: ClaimRecord) => ClaimRecord | undefined): Promise<void> {
    const step = lastUpdate.then(async () => {
      const next = await update(edit);
      if (next === undefined) return;
      ownership.apply(next);
      liveness.noteRead();
    });
    lastUpdate = step.catch(() => undefined);
    return step;
  }

  async function reconcile(): Promise<void> {
    liveness.detectPause();
    await enqueueUpdate((current) => {
      if (!liveness.isMembershipReliable()) return undefined;
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
    await ownership.takeOverNewClaims();
  }

  return {
    owned: ownership.owned,
    ownerOf: (subject) => ownership.record()?.claims.get(subject),
    reconcile,
    release: (subjects) => enqueueUpdate((current) => releaseClaims(current, self, subjects)),
    settle: (subjects) => enqueueUpdate((current) => settleClaims(current, self, subjects)),
    noteAlive: () => {
      liveness.detectPause();
      contact.checkPeers();
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
    isMembershipReliable: liveness.isMembershipReliable,
    all: () => [...(ownership.record()?.claims.values() ?? [])],
    onGain: ownership.onGain,
    onLoss: ownership.onLoss,
  };
}

function recordKey({ host }: ClaimsOptions): string {
  return `claims/${host.dataCentre}`;
}

/**
 * Returns a function that updates the record and returns it, or undefined if that failed. Logs the
 * start and the end of an outage of the store.
 */
function createRecordUpdater(options: ClaimsOptions, observe: (current: ClaimRecord) => void) {
  let isUnavailable = false;

  function logAvailability(reason: string | undefined): void {
    if (reason !== undefined && !isUnavailable) {
      options.log.warn('Cannot read or update the claims; the current claims stay in force.', {
        reason,
      });
    }
    if (reason === undefined && isUnavailable) options.log.info('The claims are available again.');
    isUnavailable = reason !== undefined;
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
      logAvailability(result.isErr() ? result.error.detail : undefined);
      if (result.isErr()) return undefined;
      return result.value === undefined ? EMPTY_RECORD : decodeClaims(result.value);
    } catch (error) {
      logAvailability(describeError(error));
      return undefined;
    }
  };
}
