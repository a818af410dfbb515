/**
 * What a test declares about a worker, the settings that it changes while the worker runs, and what
 * a task does.
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
  /** How long the ids and answers of ended tasks are remembered, in milliseconds. */
  rememberMs: amount.default(15 * 60 * 1000),
  port: z.number().int().nonnegative().default(0),
});

export type WorkerSpec = z.infer<typeof workerSpec>;

export const workerSettings = z.object({
  state: z.enum(['live', 'leaving']),
  /** Holds all calls and ends no task until it is switched off, as a paused machine does. */
  frozen: z.boolean(),
  /** Every task that starts fails at once with status 500. */
  failAll: z.boolean(),
  /** Number of answers still to be cut short. */
  cutAnswers: z.number().int().nonnegative(),
  /** Number of pairs of answers still to be swapped. */
  crossAnswers: z.number().int().nonnegative(),
  /** Delay between the end of a task and its answer, in milliseconds. */
  answerDelayMs: amount,
  /** Observed use of a task as a multiple of its declared processors and memory. */
  usageFactor: amount,
  /** Age of the usage that reports show, in milliseconds. */
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
  /** Size of an answer of filler bytes. */
  answerBytes: z.number().int().nonnegative().optional(),
  /** Answered as JSON. */
  echo: z.unknown().optional(),
});

export type TaskBehaviour = z.infer<typeof behaviour>;

/** The behaviour that the input describes; an empty one if the input is anything else. */
export function parseTaskBehaviour(input: Uint8Array): TaskBehaviour {
  try {
    const parsed = behaviour.safeParse(JSON.parse(Buffer.from(input).toString()));
    return parsed.data ?? {};
  } catch {
    return {};
  }
}
