/**
 * Configuration that operators set for a cell: queues that callers submit jobs to, teams with their keys, shares
 * and limits, and services whose workers run the tasks.
 */
import type { Resources } from '../model/index.js';

/** Timing of the advice service, which decides which workers may run a step. */
export interface AdviceTiming {
  /** Base duration of a decision. */
  readonly decideMs: number;
  /** Additional duration for each worker named in a call. */
  readonly perWorkerMs: number;
  /** Lifetime of a permit. */
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
  /** A job is on time if it ends within `stretch` times its critical path plus `targetLatencyMs`. */
  readonly stretch: number;
  readonly targetLatencyMs: number;
  /** Absent if every worker of the service may run every step. */
  readonly advice?: AdviceTiming;
  /** Whether the queue accepts jobs without a key. */
  readonly open: boolean;
}

export interface TeamConfiguration {
  readonly name: string;
  readonly keys: readonly string[];
  readonly weight: number;
  /** Upper limit of the resources of running tasks; 0 means unlimited. */
  readonly limit: Resources;
}

export interface ServiceConfiguration {
  readonly name: string;
  /** Whether the workers themselves refuse tasks that do not fit. */
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

/** Returns the queue of the host with the longest prefix that matches the path. */
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
