/**
 * What this host owns according to the record last read, and the listeners that take subjects over
 * and give them up.
 */
import type { Log } from '../log/index.js';
import type { Claim, ClaimRecord } from './claim.js';
import { isOwner, type Owner } from './decide-claims.js';

/** Tracks the claims of one host. */
export function createOwnership(self: Owner, log: Log) {
  const gainListeners: ((claim: Claim) => Promise<void>)[] = [];
  const lossListeners: ((claim: Claim) => void)[] = [];
  const owned = new Map<string, Claim>();
  /** Epochs of the claims whose listeners run. */
  const gaining = new Map<string, number>();
  let record: ClaimRecord | undefined;

  function apply(next: ClaimRecord): void {
    record = next;
    for (const claim of [...owned.values()]) {
      const current = findOwn(claim);
      if (current === undefined) lose(claim);
      else owned.set(claim.subject, current);
    }
  }

  /** The claim as the record shows it now, if it is still in force. */
  function findOwn(claim: Claim): Claim | undefined {
    const current = record?.claims.get(claim.subject);
    if (current === undefined || current.released === true) return undefined;
    return isOwner(current, self) && current.epoch === claim.epoch ? current : undefined;
  }

  function lose(claim: Claim): void {
    owned.delete(claim.subject);
    log.info(`Lost ${claim.subject}.`, { epoch: claim.epoch });
    for (const listener of lossListeners) listener(claim);
  }

  async function takeOver(claim: Claim): Promise<void> {
    const { subject, epoch } = claim;
    gaining.set(subject, epoch);
    const isReady = await runListeners(claim);
    if (gaining.get(subject) === epoch) gaining.delete(subject);
    const current = findOwn(claim);
    if (current === undefined) lose(claim);
    else if (isReady) owned.set(subject, current);
  }

  async function runListeners(claim: Claim): Promise<boolean> {
    try {
      for (const listener of gainListeners) await listener(claim);
      return true;
    } catch (error) {
      log.warn(`Cannot take ${claim.subject} over yet; the next step tries again.`, {
        epoch: claim.epoch,
        reason: describeError(error),
      });
      return false;
    }
  }

  return {
    apply,
    record: () => record,
    owned: (): readonly Claim[] => [...owned.values()],
    isOwned: (subject: string) => owned.has(subject),
    /** Runs the listeners of claims that the record gives to this host and that are not owned. */
    takeOverGained: async (): Promise<void> => {
      const gained = [...(record?.claims.values() ?? [])]
        .filter((claim) => findOwn(claim) !== undefined && !owned.has(claim.subject))
        .filter((claim) => gaining.get(claim.subject) !== claim.epoch);
      await Promise.all(gained.map(takeOver));
    },
    onGain: (listener: (claim: Claim) => Promise<void>): void => {
      gainListeners.push(listener);
    },
    onLoss: (listener: (claim: Claim) => void): void => {
      lossListeners.push(listener);
    },
  };
}

export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
