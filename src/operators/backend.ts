/**
 * What an entry host does for its operators, one function per route.
 */
import type { ResultAsync } from 'neverthrow';
import type { Finding } from '../catalogue/index.js';
import type { Configuration } from '../model/index.js';
import type {
  HostRow,
  QueueRow,
  RolloutRow,
  Table,
  TeamRow,
  TimelineQuery,
  TimelineRow,
  WorkerRow,
} from './rows.js';

/** A new configuration text that replaces the one of `baseRevision`. */
export interface ConfigurationChange {
  readonly text: string;
  readonly baseRevision: number;
  /** Chosen by the operator's tool; a repeated change has the same id. */
  readonly changeId: string;
  /** Id of the operator key that was presented. */
  readonly operator: string;
}

export interface AppliedChange {
  readonly revision: number;
  readonly hosts: readonly RolloutRow[];
}

/** Why a change was not applied; only a change `in-doubt` may have taken effect. */
export type ChangeError =
  | { readonly kind: 'conflict'; readonly revision: number }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] }
  | { readonly kind: 'unavailable' | 'in-doubt'; readonly detail: string };

export interface OperatorBackend {
  /** The configuration in force, for keys and for reading it back. */
  configuration(): Configuration | undefined;
  /** Whether the keys in force are known to be current. */
  keysCurrent(): boolean;
  apply(change: ConfigurationChange): ResultAsync<AppliedChange, ChangeError>;
  /** The revision in force on every known entry host. */
  rollout(revision: number): Promise<readonly RolloutRow[]>;
  queue(): Promise<Table<QueueRow>>;
  workers(): Promise<Table<WorkerRow>>;
  teams(): Promise<Table<TeamRow>>;
  hosts(): Promise<Table<HostRow>>;
  /** Events in causal order. */
  timeline(query: TimelineQuery): Promise<Table<TimelineRow>>;
}
