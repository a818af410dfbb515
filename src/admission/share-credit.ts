/**
 * Estimates at a host whether a job is within its team's share. The leader meters the jobs of all hosts; each host lets
 * its part of what the leader has published through, and regains it at its part of the team's rate.
 */
import type { WaitRecord } from './wait-record.js';

/** Bound of what a host regains, in seconds of its part of the rate; the leader's meter has the same bound. */
const BURST_S = 2;

export interface ShareCredit {
  /** Applies a published record. */
  update(record: WaitRecord): void;
  /** Whether another job of the team is within its share; true for teams that the record does not name. */
  isWithin(team: string): boolean;
  recordAccepted(team: string): void;
}

interface Credit {
  jobs: number;
  at: number;
  perSecond: number;
}

export function createShareCredit({ now }: { readonly now: () => number }): ShareCredit {
  let credits = new Map<string, Credit>();

  function refill(credit: Credit) {
    const most = Math.max(1, credit.perSecond * BURST_S);
    const regained = ((now() - credit.at) / 1000) * credit.perSecond;
    // What the leader has published may be more than a host regains by itself.
    credit.jobs = Math.max(credit.jobs, Math.min(most, credit.jobs + regained));
    credit.at = now();
  }

  return {
    update: ({ teams, hosts }) => {
      const next = new Map<string, Credit>();
      for (const [team, { jobs, perSecond }] of Object.entries(teams)) {
        const known = credits.get(team);
        if (known !== undefined) refill(known);
        next.set(team, {
          jobs: Math.max(known?.jobs ?? 0, jobs / hosts),
          at: now(),
          perSecond: perSecond / hosts,
        });
      }
      credits = next;
    },
    isWithin: (team) => {
      const credit = credits.get(team);
      if (credit === undefined) return true;
      refill(credit);
      return credit.jobs >= 1;
    },
    recordAccepted: (team) => {
      const credit = credits.get(team);
      if (credit === undefined) return;
      refill(credit);
      credit.jobs = Math.max(0, credit.jobs - 1);
    },
  };
}
