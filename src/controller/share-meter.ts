/**
 * Detects jobs beyond a team's share with a token bucket for each team, refilled at the team's weight in jobs per
 * second. Such jobs run after the work of other teams, so that a team that sends many times its usual rate does not
 * delay the others.
 */

/** Capacity of a bucket in seconds of its rate, so that usual bursts stay within the share. */
const BURST_S = 2;
const MIN_BURST_JOBS = 4;

export interface ShareMeter {
  /** Counts one job of the team; returns whether it is beyond the team's share. */
  recordJob(team: string, weight: number): boolean;
  /** Teams that have used up more than half of what they may submit at once, with the jobs that are left to them. */
  scarce(): ScarceTeam[];
}

export interface ScarceTeam {
  readonly name: string;
  readonly jobs: number;
  readonly perSecond: number;
}

function sizeOf(weight: number): number {
  return Math.max(MIN_BURST_JOBS, weight * BURST_S);
}

export function createShareMeter(options: { readonly now: () => number }): ShareMeter {
  const buckets = new Map<string, { tokens: number; at: number; weight: number }>();
  return {
    recordJob: (team, weight) => {
      const size = sizeOf(weight);
      const at = options.now();
      const bucket = buckets.get(team) ?? { tokens: size, at, weight };
      buckets.set(team, bucket);
      bucket.weight = weight;
      bucket.tokens = Math.min(size, bucket.tokens + ((at - bucket.at) / 1000) * weight);
      bucket.at = at;
      if (bucket.tokens < 1) return true;
      bucket.tokens -= 1;
      return false;
    },
    scarce: () => {
      const at = options.now();
      return [...buckets].flatMap(([name, bucket]) => {
        const jobs = bucket.tokens + ((at - bucket.at) / 1000) * bucket.weight;
        return jobs < sizeOf(bucket.weight) / 2 ? [{ name, jobs, perSecond: bucket.weight }] : [];
      });
    },
  };
}
