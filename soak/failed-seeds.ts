/**
 * Seeds of runs that failed in the past, kept as regression cases; `--failed` runs them again.
 */

export interface FailedSeed {
  readonly seed: number;
  readonly cause: string;
}

export const FAILED_SEEDS: readonly FailedSeed[] = [
  {
    seed: 1006,
    cause:
      'The check counted an attempt as accepted with a withdrawn key that had waited until the key was granted again.',
  },
];
