/** A store in memory that loses answers of transactions and carries some of them out late, if their conditions hold then. */
import { err, ok } from 'neverthrow';
import type { KeyValueStore, StoreEntry, Transaction } from '../../src/records/index.js';

/** `answered`: carried out at once. `unanswered`: likewise, but its answer is lost. `late`: carried out when told. */
export type Fate = 'answered' | 'unanswered' | 'late' | 'rejected';

export interface LateStore {
  readonly store: KeyValueStore;
  /** What becomes of the next transactions. */
  fate: Fate;
  readonly entries: Map<string, StoreEntry>;
  /** Number of transactions that were sent. */
  readonly sent: number;
  put(key: string, value: string): StoreEntry;
  deliverLate(): void;
}

export function createLateStore(): LateStore {
  const entries = new Map<string, StoreEntry>();
  let revision = 0;
  let late: Transaction[] = [];
  let sent = 0;

  function put(key: string, value: string): StoreEntry {
    revision += 1;
    const entry = { key, value, revision };
    entries.set(key, entry);
    return entry;
  }

  function execute({ conditions, writes, removals = [] }: Transaction) {
    const isMet = conditions.every(
      ({ key, revision: expected }) => (entries.get(key)?.revision ?? 0) === expected,
    );
    if (!isMet) {
      const present = conditions.flatMap(({ key }) => entries.get(key) ?? []);
      return { kind: 'conflict', entries: present } as const;
    }
    for (const { key, value } of writes) put(key, value);
    for (const key of removals) entries.delete(key);
    return { kind: 'committed', revision } as const;
  }

  const store = {
    get: (key: string) => Promise.resolve(ok(entries.get(key))),
    transact: (transaction: Transaction) => {
      sent += 1;
      if (lateStore.fate === 'rejected') {
        return Promise.resolve(err({ kind: 'rejected', detail: 'slow' }));
      }
      if (lateStore.fate === 'late') late.push(transaction);
      else {
        const outcome = execute(transaction);
        if (lateStore.fate === 'answered') return Promise.resolve(ok(outcome));
      }
      return Promise.resolve(err({ kind: 'unknown', detail: 'no response' }));
    },
  } as unknown as KeyValueStore;

  const lateStore: LateStore = {
    store,
    fate: 'answered',
    entries,
    get sent() {
      return sent;
    },
    put,
    deliverLate: () => {
      for (const transaction of late) execute(transaction);
      late = [];
    },
  };
  return lateStore;
}
