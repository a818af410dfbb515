/**
 * Settles the allotments of tasks that were found on workers of former holders, and frees the remaining
 * allotments of a former holder once no claim names it any more.
 */
import { ownerName, type Claim, type Claims } from '../claims/index.js';
import type { Allotments } from '../teams/index.js';
import type { RunningTask } from '../workers/index.js';

export interface Settlement {
  /**
   * Charges running tasks to this host and returns them under the owner that they were charged to.
   * A failed transfer is repeated by the allotments; until then it counts against this host.
   */
  adopt(claim: Claim, running: readonly RunningTask[]): Promise<readonly RunningTask[]>;
  /** Clears settled claims and frees owners that no claim names. Runs periodically. */
  settleClaims(): Promise<void>;
}

export function createSettlement(options: {
  readonly claims: Claims;
  readonly allotments: Allotments;
  readonly owner: string;
  /** Whether a former owner's process has certainly ended; a paused one still uses its allotments. */
  readonly hasEnded: (former: string) => boolean;
}): Settlement {
  const { claims, allotments, owner } = options;
  const formerOwners = new Set<string>();

  async function adopt(
    claim: Claim,
    running: readonly RunningTask[],
  ): Promise<readonly RunningTask[]> {
    // The charges are those of the oldest unsettled owner: later ones settle before they start anything.
    const former = claim.from?.[0];
    const tasks = running.map((task) => ({ ...task, chargedTo: former ?? task.chargedTo }));
    for (const from of new Set(tasks.map((task) => task.chargedTo))) {
      if (from === owner) continue;
      const charged = tasks.filter((task) => task.chargedTo === from);
      await allotments.adopt(from, countByTeam(charged));
    }
    return tasks;
  }

  async function settleClaims(): Promise<void> {
    const settled = claims.owned().filter(({ from }) => {
      return from?.every((former) => allotments.settled(former)) === true;
    });
    for (const { from = [] } of settled) {
      for (const former of from) formerOwners.add(former);
    }
    if (settled.length > 0) await claims.settle(settled.map(({ subject }) => subject));
    await freeFormerOwners();
  }

  async function freeFormerOwners(): Promise<void> {
    const referenced = new Set(
      claims.all().flatMap((claim) => [ownerName(claim), ...(claim.from ?? [])]),
    );
    for (const former of formerOwners) {
      if (referenced.has(former) || former === owner || !options.hasEnded(former)) continue;
      const freed = await allotments.releaseOwner(former);
      if (freed.isOk()) formerOwners.delete(former);
    }
  }

  return { adopt, settleClaims };
}

function countByTeam(tasks: readonly RunningTask[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { team } of tasks) counts.set(team, (counts.get(team) ?? 0) + 1);
  return counts;
}
