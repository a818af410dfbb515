/**
 * Tracks which subjects this host owns according to the record last read, and runs the listeners
 * that take them over and give them up.
 */
import type { Log } from '../log/index.js';
import type { Claim, ClaimRecord } from './claim.js';
import { isOwner, type Owner } from './decide-claims.js';

export function createOwnership(self: Owner, log: Log) {
  const gainListeners: ((claim: Claim) => Promise<void>)[] = [];
  const lossListeners: ((claim: Claim) => void)[] = [];
  const owned = new Map<string, Claim>();
  /** Epochs of the claims whose `onGain` listeners are running. */
  const takingOver = new Map<string, number>();
  let record: ClaimRecord | undefined;

  function apply(next: ClaimRecord): void {
    record = next;
    for (const claim of [...owned.values()]) {
      const current = findValidClaim(claim);
      if (current === undefined) handleLoss(claim);
      else owned.set(claim.subject, current);
    }
  }

  /** Returns the claim as currently recorded, or undefined if it is no longer in force. */
  function findValidClaim(claim: Claim): Claim | undefined {
    const current = record?.claims.get(claim.subject);
    if (current === undefined || current.released === true) return undefined;
    return isOwner(current, self) && current.epoch === claim.epoch ? current : undefined;
  }

  function handleLoss(claim: Claim): void {
    owned.delete(claim.subject);
    log.info(`Lost the claim on ${claim.subject}.`, { epoch: claim.epoch });
    for (const listener of lossListeners) listener(claim);
  }

  async function takeOver(claim: Claim): Promise<void> {
    const { subject, epoch } = claim;
    takingOver.set(subject, epoch);
    const isReady = await runListeners(claim);
    if (takingOver.get(subject) === epoch) takingOver.delete(subject);
    const current = findValidClaim(claim);
    if (current === undefined) handleLoss(claim);
    else if (isReady) owned.set(subject, current);
  }

  async function runListeners(claim: Claim): Promise<boolean> {
    try {
      for (const listener of gainListeners) await listener(claim);
      return true;
    } catch (error) {
      log.warn(`Failed to take over ${claim.subject}; retrying in the next step.`, {
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
    /** Runs the `onGain` listeners of recorded claims of this host that are not owned yet. */
    takeOverNewClaims: async (): Promise<void> => {
      const newClaims = [...(record?.claims.values() ?? [])]
        .filter((claim) => findValidClaim(claim) !== undefined && !owned.has(claim.subject))
        .filter((claim) => takingOver.get(claim.subject) !== claim.epoch);
      await Promise.all(newClaims.map(takeOver));
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
