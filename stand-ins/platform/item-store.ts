/**
 * In-memory state of the store stand-in: items with revisions, leases, and a history of changes that
 * can be compacted.
 */

export interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

export type StoredEvent =
  Item | { readonly key: string; readonly revision: number; readonly deleted: true };

export interface ItemWrite {
  readonly key: string;
  readonly value: string;
  readonly lease: number;
}

export interface ItemStore {
  readonly revision: number;
  get(key: string): Item | undefined;
  list(prefix: string, after: string, limit: number): readonly Item[];
  /** Applies all changes under one new revision and returns it. */
  apply(writes: readonly ItemWrite[], removals: readonly string[]): number;
  /** Undefined if events after this revision have been compacted. */
  eventsAfter(prefix: string, revision: number): readonly StoredEvent[] | undefined;
  /** Calls the listener after each change and each compaction, until the returned function is called. */
  subscribe(listener: () => void): () => void;
  /** Drops the history of changes. */
  compact(): void;
  /** Creates a lease and returns its id. */
  grant(lifetimeMs: number): number;
  /** False if the lease has ended. */
  renewLease(lease: number): boolean;
  /** Ends a lease and removes its items. False if it has ended already. */
  end(lease: number): boolean;
  hasLease(lease: number): boolean;
  close(): void;
}

interface Lease {
  readonly lifetimeMs: number;
  timer: NodeJS.Timeout;
}

export function createItemStore(): ItemStore {
  const items = new Map<string, Item>();
  const leases = new Map<number, Lease>();
  const listeners = new Set<() => void>();
  let history: StoredEvent[] = [];
  let compactedRevision = 0;
  let revision = 1;
  let nextLease = 100;

  function apply(writes: readonly ItemWrite[], removals: readonly string[]): number {
    revision += 1;
    for (const { key, value, lease } of writes) {
      const created = items.get(key)?.created ?? revision;
      const item = { key, value, revision, created, lease };
      items.set(key, item);
      history.push(item);
    }
    for (const key of removals) {
      if (items.delete(key)) history.push({ key, revision, deleted: true });
    }
    for (const listener of [...listeners]) listener();
    return revision;
  }

  function endLease(lease: number): boolean {
    const found = leases.get(lease);
    if (found === undefined) return false;
    clearTimeout(found.timer);
    leases.delete(lease);
    const keys = [...items.values()].filter((item) => item.lease === lease).map(({ key }) => key);
    if (keys.length > 0) apply([], keys);
    return true;
  }

  function startTimer(lease: number, lifetimeMs: number): NodeJS.Timeout {
    return setTimeout(() => {
      endLease(lease);
    }, lifetimeMs);
  }

  return {
    get revision() {
      return revision;
    },
    get: (key) => items.get(key),
    list: (prefix, after, most) =>
      [...items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1))
        .slice(0, most),
    apply,
    eventsAfter: (prefix, after) => {
      if (after < compactedRevision) return undefined;
      return history.filter((event) => event.revision > after && event.key.startsWith(prefix));
    },
    subscribe: (listener) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
    compact: () => {
      history = [];
      compactedRevision = revision;
      for (const listener of [...listeners]) listener();
    },
    grant: (lifetimeMs) => {
      nextLease += 1;
      leases.set(nextLease, { lifetimeMs, timer: startTimer(nextLease, lifetimeMs) });
      return nextLease;
    },
    renewLease: (lease) => {
      const found = leases.get(lease);
      if (found === undefined) return false;
      clearTimeout(found.timer);
      found.timer = startTimer(lease, found.lifetimeMs);
      return true;
    },
    end: endLease,
    hasLease: (lease) => leases.has(lease),
    close: () => {
      for (const { timer } of leases.values()) clearTimeout(timer);
    },
  };
}
