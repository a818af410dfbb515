/**
 * What an entry host does for its callers.
 */
import type {
  CancellationResult,
  Configuration,
  Outcome,
  RequestStatus,
  WorkRequest,
} from '../model/index.js';

/** What became of a submission: accepted for later, or an outcome. */
export type SubmissionResult =
  | { readonly kind: 'accepted'; readonly outcome: Promise<Outcome> }
  | { readonly kind: 'outcome'; readonly outcome: Outcome };

/** What the entry host does for its callers. */
export interface CallerBackend {
  configuration(): Configuration | undefined;
  /** Whether the keys in force are known to be current. */
  keysCurrent(): boolean;
  /**
   * Whether a load balancer should send work here: not while the host starts or leaves. A leaving
   * host passes work that still reaches it to other hosts.
   */
  accepting(): boolean;
  submit(request: WorkRequest): Promise<SubmissionResult>;
  status(team: string, id: string, waitMs: number): Promise<RequestStatus | 'not-found' | Outcome>;
  cancel(team: string, id: string): Promise<CancellationResult | Outcome>;
}

/** Limits of the callers' interface, from the settings. */
export interface CallerLimits {
  /** Largest request body of any entry, in bytes. */
  readonly maxBodyBytes: number;
  /** Oldest accepted request id, in milliseconds. */
  readonly maxIdAgeMs: number;
  /** How far a caller's clock may be ahead, in milliseconds. */
  readonly maxClockSkewMs: number;
}

export interface CallerOptions {
  readonly backend: CallerBackend;
  readonly limits: CallerLimits;
  readonly now: () => number;
}
