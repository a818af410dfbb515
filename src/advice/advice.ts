/**
 * Calls to the advice service, which permits a step to run on some of the workers of its service. The leader makes them
 * itself or has connected hosts make them.
 */

export interface Permit {
  readonly worker: string;
  readonly ticket: string;
}

export interface AdviceAnswer {
  readonly permits: readonly Permit[];
  readonly validMs: number;
}

/** A connected host, which calls the advice service on behalf of the leader. */
export interface AdviceCaller {
  readonly name: string;
  /** Resolves to undefined if the call failed. */
  advise(step: string, workers: readonly string[]): Promise<AdviceAnswer | undefined>;
}
