/**
 * Problem documents of a host, read leniently: a load balancer in between may answer with anything.
 */
import { z } from 'zod';
import type { HostResponse } from './host-client.js';

const findingSchema = z.object({
  file: z.string(),
  line: z.number(),
  column: z.number(),
  problem: z.string(),
  fix: z.string(),
});

const problemSchema = z.object({
  title: z.string().optional().catch(undefined),
  detail: z.string().optional().catch(undefined),
  kind: z.string().optional().catch(undefined),
  outcome: z.string().optional().catch(undefined),
  revision: z.number().optional().catch(undefined),
  /** Findings of a configuration; those of a submission have another form. */
  findings: z.array(findingSchema).optional().catch(undefined),
});

export type ProblemDocument = z.output<typeof problemSchema>;

export function parseProblem(answer: HostResponse): ProblemDocument {
  const parsed = problemSchema.safeParse(parseJson(answer));
  return parsed.success ? parsed.data : {};
}

/** The JSON value of an answer; undefined if it is not JSON. */
export function parseJson(answer: HostResponse): unknown {
  try {
    return JSON.parse(answer.body.toString('utf8'));
  } catch {
    return undefined;
  }
}

/** One sentence about a refused request. */
export function describeProblem(answer: HostResponse): string {
  const { title, detail } = parseProblem(answer);
  const parts = [title, detail].filter((part) => part !== undefined);
  return parts.length > 0 ? parts.join(': ') : `the host answered ${String(answer.status)}`;
}
