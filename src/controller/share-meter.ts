/**
 * Answers the pattern "one team sends many times its usual": a token bucket for each team, filled at the
 * team's weight in jobs a second. Jobs beyond it are marked and run after the others' work.
 */

/** The bucket holds this many seconds of the rate, so that the usual bursts are not marked. */
const BURST_S = 2;
const MIN_BURST_JOBS = 4;

export interface ShareMeter {
  /** Takes one job of the team; returns whether it lies beyond the team's share. */
  recordJob(team: string, weight: number): boolean;
}

export function createShareMeter(options: { readonly now: () => number }): ShareMeter {
  const buckets = new Map<string, { tokens: number; at: number }>();
  return {
    recordJob: (team, weight) => {
      const size = Math.max(MIN_BURST_JOBS, weight * BURST_S);
      const at = options.now();
      const bucket = buckets.get(team) ?? { tokens: size, at };
      buckets.set(team, bucket);
      bucket.tokens = Math.min(size, bucket.tokens + ((at - bucket.at) / 1000) * weight);
      bucket.at = at;
      if (bucket.tokens < 1) return true;
      bucket.tokens -= 1;
      return false;
    },
  };
}
