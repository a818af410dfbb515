/**
 * The operators' configuration of a cell: queues that callers submit to, the teams with their keys,
 * shares and limits, and the services whose workers run the tasks.
 */
import type { Resources } from '../model/index.js';

/** How long the advice service takes to name the workers that may run a step. */
export interface AdviceTiming {
  readonly decideMs: number;
  /** Additional time for each worker that a call names. */
  readonly perWorkerMs: number;
  /** How long a permit is valid. */
  readonly validMs: number;
}

export interface Queue {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** A job is on time within `stretch` times its longest chain of work plus `targetLatencyMs`. */
  readonly stretch: number;
  readonly targetLatencyMs: number;
  /** Absent if every worker of the service may run every step. */
  readonly advice?: AdviceTiming;
  /** Takes work without a key. */
  readonly open: boolean;
}

export interface TeamConfiguration {
  readonly name: string;
  readonly keys: readonly string[];
  readonly weight: number;
  /** Most that the team may have running; 0 in a resource means unlimited. */
  readonly limit: Resources;
}

export interface ServiceConfiguration {
  readonly name: string;
  /** The workers refuse what does not fit by themselves. */
  readonly admissionControl: boolean;
}

export interface CellConfiguration {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly teams: readonly TeamConfiguration[];
  readonly services: readonly ServiceConfiguration[];
  readonly maxBodyBytes: number;
  readonly idleTimeoutMs: number;
  readonly headerTimeoutMs: number;
}

/** Finds the queue with the longest prefix that the path begins with. */
export function findQueue(
  configuration: CellConfiguration,
  host: string,
  path: string,
): Queue | undefined {
  let found: Queue | undefined;
  for (const queue of configuration.queues) {
    if (queue.host !== host || !path.startsWith(queue.prefix)) continue;
    if (found === undefined || queue.prefix.length > found.prefix.length) found = queue;
  }
  return found;
}

export function findTeamByKey(
  configuration: CellConfiguration,
  key: string,
): TeamConfiguration | undefined {
  return configuration.teams.find(({ keys }) => keys.includes(key));
}
