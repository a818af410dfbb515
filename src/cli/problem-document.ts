/**
 * Parses problem documents leniently, because a load balancer in between may answer with anything.
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
  /** Findings of a configuration; findings of a submission have a different form. */
  findings: z.array(findingSchema).optional().catch(undefined),
});

export type ProblemDocument = z.output<typeof problemSchema>;

export function parseProblem(response: HostResponse): ProblemDocument {
  const parsed = problemSchema.safeParse(parseJson(response));
  return parsed.success ? parsed.data : {};
}

/** Parses the body of a response; undefined if it is not JSON. */
export function parseJson(response: HostResponse): unknown {
  try {
    return JSON.parse(response.body.toString('utf8'));
  } catch {
    return undefined;
  }
}

/** Describes a failed request in one line. */
export function describeProblem(response: HostResponse): string {
  const { title, detail } = parseProblem(response);
  const parts = [title, detail].filter((part) => part !== undefined);
  return parts.length > 0
    ? parts.join(': ')
    : `the host returned status ${String(response.status)}`;
}
