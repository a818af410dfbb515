/**
 * Schemas of the worker stand-in: the spec that declares a worker, the settings that a test changes
 * while it runs, and the behaviour of a task, which its input describes.
 */
import { z } from 'zod';

const amount = z.number().nonnegative();

export const resources = z.object({
  processors: amount,
  memoryMb: amount,
  accelerators: amount,
});

export type Resources = z.infer<typeof resources>;

export const workerSpec = z.object({
  id: z.string(),
  dataCentre: z.string().default('dc1'),
  rack: z.string().default('r1'),
  capacity: resources,
  slots: z.number().int().positive().default(8),
  connections: z.number().int().positive().default(64),
  /** How long the ids and answers of ended tasks are kept, in milliseconds. */
  rememberMs: amount.default(15 * 60 * 1000),
  port: z.number().int().nonnegative().default(0),
});

export type WorkerSpec = z.infer<typeof workerSpec>;

export const workerSettings = z.object({
  state: z.enum(['live', 'leaving']),
  /** While set, blocks all calls of entry hosts and ends no task on a timer, as a paused machine does. */
  frozen: z.boolean(),
  /** While set, every task that starts fails at once with status 500. */
  failAll: z.boolean(),
  /** Number of remaining answers to cut short. */
  cutAnswers: z.number().int().nonnegative(),
  /** Number of remaining pairs of answers to swap. */
  crossAnswers: z.number().int().nonnegative(),
  /** Delay between the end of a task and its answer, in milliseconds. */
  answerDelayMs: amount,
  /** Reported usage of a task as a multiple of its declared processors and memory. */
  usageFactor: amount,
  /** Age of the usage in reports, in milliseconds. */
  reportLagMs: amount,
});

export type WorkerSettings = z.infer<typeof workerSettings>;

export const DEFAULT_SETTINGS: WorkerSettings = {
  state: 'live',
  frozen: false,
  failAll: false,
  cutAnswers: 0,
  crossAnswers: 0,
  answerDelayMs: 0,
  usageFactor: 1,
  reportLagMs: 0,
};

const behaviour = z.object({
  runMs: amount.optional(),
  status: z.number().int().min(200).max(599).optional(),
  /** Size in bytes of an answer that consists of filler. */
  answerBytes: z.number().int().nonnegative().optional(),
  /** Value to return as JSON. */
  echo: z.unknown().optional(),
});

export type TaskBehaviour = z.infer<typeof behaviour>;

/** Parses the behaviour that the input describes; returns an empty one for any other input. */
export function parseTaskBehaviour(input: Uint8Array): TaskBehaviour {
  try {
    const parsed = behaviour.safeParse(JSON.parse(Buffer.from(input).toString()));
    return parsed.data ?? {};
  } catch {
    return {};
  }
}
