/**
 * The messages between entry hosts.
 */
import type { ConfigurationRecord } from '../configuration/index.js';
import type { Heartbeat } from '../hosts/index.js';
import type {
  CancellationResult,
  Outcome,
  RequestStatus,
  TaskId,
  WorkRequest,
} from '../model/index.js';
import type {
  FenceMessage,
  FenceReply,
  RememberMessage,
  RememberReply,
} from '../requests/index.js';
import type { TimelineEvent, TimelineFilter } from '../timeline/index.js';
import type { TaskNeverSeen, TaskOutcome } from '../workers/index.js';

/** `home`: the receiver lets the home of the id decide; `place`: the receiver queues the request. */
export interface ForwardMessage {
  readonly stage: 'home' | 'place';
  readonly request: WorkRequest;
}

/** The sender polls the outcome of an accepted job at the host that accepted it. */
export type ForwardReply =
  | { readonly kind: 'outcome'; readonly outcome: Outcome }
  | { readonly kind: 'accepted'; readonly host: string };

export interface RequestReference {
  readonly team: string;
  readonly id: string;
}

export interface StatusMessage extends RequestReference {
  readonly waitMs: number;
}

export interface ReserveMessage {
  readonly request: WorkRequest;
  readonly count: number;
  /** Index of the first task that the reservation is for. */
  readonly firstTask: number;
  readonly expiresInMs: number;
}

/** A task for which a holder has reserved capacity. */
export interface ReservedTask {
  readonly task: TaskId;
  readonly worker: string;
  readonly bootId: string;
}

export interface ReserveReply {
  readonly tasks: readonly ReservedTask[];
}

export interface RunReservedMessage {
  readonly task: TaskId;
  readonly request: WorkRequest;
}

export interface JoinMessage {
  readonly worker: string;
  readonly task: TaskId;
}

/** `not-held`: the receiver does not hold the worker at present. */
export type JoinReply = TaskOutcome | TaskNeverSeen | { readonly kind: 'not-held' };

/** Rows that the operators' interface collects from every host. */
export type OperatorTable = 'queue' | 'workers' | 'hosts';

/** Every message kind with its body and reply. */
export interface PeerMessages {
  heartbeat: { body: Heartbeat; reply: null };
  forward: { body: ForwardMessage; reply: ForwardReply };
  status: { body: StatusMessage; reply: RequestStatus | null };
  cancel: { body: RequestReference; reply: CancellationResult };
  remember: { body: RememberMessage; reply: RememberReply };
  fence: { body: FenceMessage; reply: FenceReply };
  configuration: { body: ConfigurationRecord; reply: null };
  'pull-configuration': { body: null; reply: ConfigurationRecord | null };
  /** The sender has too little allotment of a team and has asked for more in the team's record. */
  'allotment-wanted': { body: { readonly team: string }; reply: null };
  join: { body: JoinMessage; reply: JoinReply };
  reserve: { body: ReserveMessage; reply: ReserveReply };
  'run-reserved': { body: RunReservedMessage; reply: TaskOutcome };
  release: { body: { readonly tasks: readonly TaskId[] }; reply: null };
  timeline: { body: TimelineFilter; reply: readonly TimelineEvent[] };
  operator: { body: { readonly table: OperatorTable }; reply: readonly unknown[] };
}
