/**
 * The stored record of the operators' configuration, and how it is encoded.
 */
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { VersionedValue } from '../platform/index.js';

/** One revision of the configuration as hosts exchange it. */
export interface ConfigurationRecord {
  readonly revision: number;
  readonly changeId: string;
  readonly text: string;
}

/** The record in the store. */
export interface StoredConfiguration extends ConfigurationRecord {
  /**
   * The latest changes, oldest first. They tell whether a change whose response was lost took
   * effect even if another change has followed it.
   */
  readonly recent: readonly { readonly revision: number; readonly changeId: string }[];
}

export const CONFIGURATION_KEY = 'configuration';
/** Size limit of the key-value service for one value. */
export const MAX_RECORD_BYTES = 1_000_000;
/** Exceeds the number of changes that can follow while an operator's command retries. */
const RECENT_CHANGES = 32;

export const NO_CONFIGURATION: StoredConfiguration = {
  revision: 0,
  changeId: '',
  text: '',
  recent: [],
};

const change = { revision: z.int().nonnegative(), changeId: z.string() };
const storedSchema = z.object({
  ...change,
  text: z.string(),
  recent: z.array(z.object(change)).default([]),
});

/** An absent value is revision 0. Fails with a message if the value is no configuration record. */
export function decodeStored(
  found: VersionedValue | undefined,
): Result<StoredConfiguration, string> {
  if (found === undefined) return ok(NO_CONFIGURATION);
  try {
    return ok(storedSchema.parse(JSON.parse(found.value)));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return err(`The store key "${CONFIGURATION_KEY}" holds no configuration record: ${reason}`);
  }
}

/** Encodes the value that replaces `previous`. */
export function encodeNextRevision(
  previous: StoredConfiguration,
  next: ConfigurationRecord,
): string {
  const recent = [...previous.recent, { revision: next.revision, changeId: next.changeId }];
  return JSON.stringify({ ...next, recent: recent.slice(-RECENT_CHANGES) });
}
