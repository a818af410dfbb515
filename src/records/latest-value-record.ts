/**
 * A record that one host at a time writes again and again, of which only the latest value counts. Each write names the revision
 * that it replaces: one whose answer was lost may be carried out seconds later and must not replace a newer value.
 */
import type { Condition, KeyValueStore } from './key-value-store.js';

export interface LatestValueRecord {
  /**
   * Writes the value, unless it is known to be the present one. Resolves to whether it is; if not, an earlier value may
   * be, and the record is only correct after a later call.
   */
  write(value: string): Promise<boolean>;
}

export interface LatestValueRecordOptions {
  readonly store: KeyValueStore;
  readonly key: string;
  /** Holds as long as this host is the one that writes the record. */
  readonly condition: () => Condition;
}

export function createLatestValueRecord({
  store,
  key,
  condition,
}: LatestValueRecordOptions): LatestValueRecord {
  /** Revision of the present value; undefined before it is known. */
  let revision: number | undefined;
  /** The present value, if this host has written it and no later write may have replaced it. */
  let present: string | undefined;
  let isWriting = false;

  async function replace(value: string): Promise<boolean> {
    if (revision === undefined) {
      const found = await store.get(key);
      if (found.isErr()) return false;
      revision = found.value?.revision ?? 0;
    }
    present = undefined;
    const outcome = await store.transact({
      conditions: [condition(), { key, revision }],
      writes: [{ key, value }],
    });
    // An unknown write either takes effect, which the next one finds as a conflict, or is void after that one.
    if (outcome.isErr()) return false;
    if (outcome.value.kind === 'committed') {
      revision = outcome.value.revision;
      present = value;
      return true;
    }
    if (outcome.value.kind === 'conflict') {
      revision = outcome.value.entries.find((entry) => entry.key === key)?.revision ?? 0;
    }
    return false;
  }

  return {
    write: async (value) => {
      if (isWriting) return false;
      if (value === present) return true;
      isWriting = true;
      try {
        return await replace(value);
      } finally {
        isWriting = false;
      }
    },
  };
}
