/**
 * The operations of an entry host that the callers' API uses.
 */
import type {
  CancellationResult,
  Configuration,
  Outcome,
  RequestStatus,
  WorkRequest,
} from '../model/index.js';
import type { BodyLimits } from './body.js';

/** A submission is either accepted, with its outcome to follow, or has its outcome at once. */
export type SubmissionResult =
  | { readonly kind: 'accepted'; readonly outcome: Promise<Outcome> }
  | { readonly kind: 'outcome'; readonly outcome: Outcome };

/** The operations that the callers' API needs from its entry host. */
export interface CallerBackend {
  configuration(): Configuration | undefined;
  /** Whether the keys in force are known to be current. */
  keysCurrent(): boolean;
  /**
   * Whether a load balancer should route work to this host; false while the host starts or leaves. A
   * leaving host forwards the work that still reaches it to other hosts.
   */
  accepting(): boolean;
  submit(request: WorkRequest): Promise<SubmissionResult>;
  status(team: string, id: string, waitMs: number): Promise<RequestStatus | 'not-found' | Outcome>;
  cancel(team: string, id: string): Promise<CancellationResult | Outcome>;
}

/** Limits of the callers' API, from the settings. */
export interface CallerLimits {
  /** Largest request body of any entry, in bytes. */
  readonly maxBodyBytes: number;
  /** Maximum age of a caller's request id, in milliseconds. */
  readonly maxIdAgeMs: number;
  /** Maximum time by which a caller's clock may be ahead, in milliseconds. */
  readonly maxClockSkewMs: number;
}

export interface CallerOptions {
  readonly backend: CallerBackend;
  readonly limits: CallerLimits;
  readonly bodies: BodyLimits;
  readonly now: () => number;
}
