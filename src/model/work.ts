/**
 * Work as the catalogue declares it and as callers submit it. A catalogue entry has an owner, a
 * class and limits; a request names an entry and becomes one task, or several for a gang.
 */
import type { Resources } from './resources.js';

/**
 * `interactive` requests are answered while someone waits, `batch` jobs are deferrable, a `gang`
 * needs all its tasks at once, and a `service` runs until it is cancelled.
 */
export type WorkClass = 'interactive' | 'batch' | 'gang' | 'service';

export const WORK_CLASSES: readonly WorkClass[] = ['interactive', 'batch', 'gang', 'service'];

/** One entry of the operators' catalogue. */
export interface CatalogueEntry {
  readonly name: string;
  /** The team that owns the entry. */
  readonly owner: string;
  readonly class: WorkClass;
  /** Whether running the work twice has the same effect as running it once. */
  readonly idempotent: boolean;
  /** Declared size of one task. */
  readonly size: Resources;
  /** Number of tasks of a gang; 1 for every other class. */
  readonly tasks: number;
  /** Longest time from submission to the start of the task, in milliseconds. */
  readonly deadlineMs: number;
  /** Longest run time of one task, in milliseconds; ignored for services. */
  readonly maxRunMs: number;
  /** Largest accepted input, in bytes. */
  readonly maxInputBytes: number;
  /** Most requests of this entry that may wait on one entry host. */
  readonly maxQueued: number;
  /** Most starts of one job that may fail before the job fails. */
  readonly maxAttempts: number;
  /** Open entries take requests without a key; the work is charged to the owner. */
  readonly open: boolean;
}

/** A team that shares the cell. */
export interface Team {
  readonly name: string;
  /** Weight of the team when the cell is full. */
  readonly share: number;
  /** Most tasks that the team may have running over the whole fleet. */
  readonly limit: number;
}

/** A granted key. Only the hash of the secret is kept. */
export interface ApiKey {
  readonly id: string;
  readonly team: string;
  /** SHA-256 of the secret in lower-case hexadecimal. */
  readonly hash: string;
  /** Operator keys may use the operators' interface; they submit no work. */
  readonly role: 'submitter' | 'operator';
}

/** The operators' configuration in force at one revision. */
export interface Configuration {
  /** Rises by one with every accepted change. */
  readonly revision: number;
  /** Identifies the change, so that a lost answer to its write can be read back. */
  readonly changeId: string;
  readonly entries: ReadonlyMap<string, CatalogueEntry>;
  readonly teams: ReadonlyMap<string, Team>;
  readonly keys: readonly ApiKey[];
  /** The text that operators applied, as written. */
  readonly text: string;
}

/** A request that an entry host has admitted. */
export interface WorkRequest {
  /** UUID version 7; scoped by team. */
  readonly id: string;
  /** Whether the caller chose the id, so that the same id may arrive again elsewhere. */
  readonly callerId: boolean;
  readonly team: string;
  readonly entry: string;
  readonly class: WorkClass;
  readonly idempotent: boolean;
  readonly size: Resources;
  readonly tasks: number;
  readonly input: Uint8Array;
  readonly contentType: string;
  /** Wall-clock time of admission, in milliseconds since the epoch. */
  readonly submittedAt: number;
  /** Wall-clock time after which the request must not start. */
  readonly startBefore: number;
  readonly maxRunMs: number;
  readonly maxAttempts: number;
  /** Entry hosts that the request has passed, to bound forwarding. */
  readonly hops: readonly string[];
  /** Number of runs that have certainly ended without success; absent before the first retry. */
  readonly attempt?: number;
}

/** Team, request id, index of the task and attempt, joined by dots. */
export type TaskId = string;

/**
 * A retry gets a new task id, because a worker runs each id at most once.
 */
export function taskIdOf(
  request: Pick<WorkRequest, 'id' | 'team' | 'attempt'>,
  index: number,
): TaskId {
  return [request.team, request.id, String(index), String(request.attempt ?? 0)].join('.');
}
