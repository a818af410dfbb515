/**
 * What a caller can learn about a request that was accepted and is answered later.
 */
import type { Outcome } from './outcome.js';

/** The state of a request as its entry host knows it. */
export interface RequestStatus {
  readonly id: string;
  readonly team: string;
  readonly entry: string;
  readonly state: 'queued' | 'running' | 'ended';
  readonly outcome?: Outcome;
}

/** What became of an attempt to cancel a request. */
export type CancellationResult = 'cancelled' | 'stopping' | 'already-ended' | 'not-found';
