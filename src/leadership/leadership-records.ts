/**
 * Decodes the records of the leadership in the store. They may come from another writer, and hosts connect to the
 * address of the leader, so a record is used only if all of it is valid.
 */
import { z } from 'zod';
import { isSocketAddress } from '../model/index.js';

const leaderSchema = z.object({
  host: z.string().min(1),
  address: z.string().refine(isSocketAddress),
  epoch: z.int().nonnegative(),
});

export type Leader = z.infer<typeof leaderSchema>;

/**
 * Number of fencing tokens of a term: its epoch is the last of them, and the token after it is the first of the next
 * term. A leader of an older version uses its epoch as its only token, which is above those of all terms before.
 */
export const TOKENS_PER_TERM = 1_000_000;

/** Decodes the record of the leader; undefined if it names none. */
export function decodeLeader(text: string): Leader | undefined {
  try {
    const parsed = leaderSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Decodes the epoch of the last election; 0 if there was none. If the record cannot be read, no election can have
 * counted as far as the milliseconds of the clock, and workers refuse a token below one that they have seen.
 */
export function decodeEpoch(text: string | undefined, nowMs: number): number {
  if (text === undefined) return 0;
  const epoch = Number(text);
  return /^\d+$/.test(text) && Number.isSafeInteger(epoch + TOKENS_PER_TERM) ? epoch : nowMs;
}

/** No host has more processors; a greater number would make every host give way to one that does not exist. */
const MAX_PROCESSORS = 10_000;

/** Decodes the processors of the strongest host; 0 if the record cannot be read. */
export function decodeProcessors(text: string | undefined): number {
  const processors = Number(text ?? 0);
  return processors > 0 && processors <= MAX_PROCESSORS ? processors : 0;
}
