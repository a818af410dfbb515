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
  /** Maximum time from submission to the start of the task, in milliseconds. */
  readonly deadlineMs: number;
  /** Maximum run time of one task, in milliseconds; ignored for services. */
  readonly maxRunMs: number;
  /** Maximum size of the input, in bytes. */
  readonly maxInputBytes: number;
  /** Maximum number of requests of this entry that may be queued on one entry host. */
  readonly maxQueued: number;
  /** Number of failed starts after which a job fails. */
  readonly maxAttempts: number;
  /** Whether requests need no key; their work is charged to the owner. */
  readonly open: boolean;
}

/** A team that shares the cell with others. */
export interface Team {
  readonly name: string;
  /** Weight of the team when the cell is full. */
  readonly share: number;
  /** Maximum number of running tasks of the team in the whole fleet. */
  readonly limit: number;
}

/** An API key of a team or an operator. Only the hash of its secret is stored. */
export interface ApiKey {
  readonly id: string;
  readonly team: string;
  /** SHA-256 of the secret in lower-case hexadecimal. */
  readonly hash: string;
  /** Operator keys grant access to the operators' interface and cannot submit work. */
  readonly role: 'submitter' | 'operator';
}

/** The operators' configuration in force at one revision. */
export interface Configuration {
  /** Increases by one with every accepted change. */
  readonly revision: number;
  /** Identifies the change, so that a read can verify a write whose answer was lost. */
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
  /** Whether the caller chose the id; if so, the same id may also arrive at other hosts. */
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
  /** Entry hosts that the request has passed; limits forwarding. */
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
