/**
 * Record with which the leader tells all hosts how much open work it holds, and how much it can hold. Hosts refuse jobs
 * beyond that before they accept them.
 */
import { z } from 'zod';

export const OPEN_WORK_KEY = 'leadership/open-work';

const openWorkSchema = z.object({
  /** Estimated bytes of the leader's memory for all jobs that have not ended. */
  openBytes: z.number().nonnegative(),
  limitBytes: z.number().positive(),
});

export type OpenWork = z.infer<typeof openWorkSchema>;

/** The amount is rounded up to this share of the limit, so that the record changes seldom. */
const STEP_SHARE = 1 / 16;

export function encodeOpenWork({ openBytes, limitBytes }: OpenWork): string {
  const stepBytes = limitBytes * STEP_SHARE;
  const rounded = Math.ceil(openBytes / stepBytes) * stepBytes;
  return JSON.stringify({ openBytes: Math.round(rounded), limitBytes: Math.round(limitBytes) });
}

/** Decodes the record; undefined if it is missing or not valid. */
export function decodeOpenWork(text: string | undefined): OpenWork | undefined {
  if (text === undefined) return undefined;
  try {
    const parsed = openWorkSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
