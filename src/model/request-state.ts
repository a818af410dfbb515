/**
 * The state of a request that was accepted and is answered later, as reported to its caller.
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

/** Result of an attempt to cancel a request. */
export type CancellationResult = 'cancelled' | 'stopping' | 'already-ended' | 'not-found';
