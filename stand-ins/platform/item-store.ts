/**
 * State of the store stand-in: items with revisions, leases, a bounded history and waiting watches.
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
  /** Applies all changes under one revision. */
  apply(writes: readonly ItemWrite[], removals: readonly string[]): number;
  /** Undefined if the history does not reach back so far. */
  eventsAfter(prefix: string, revision: number): readonly StoredEvent[] | undefined;
  /** Calls the listener at each change, until the returned function is called. */
  subscribe(listener: () => void): () => void;
  compact(): void;
  grant(lifetimeMs: number): number;
  /** Returns false if the lease has ended. */
  renewLease(lease: number): boolean;
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
  let historyFrom = 0;
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

  function end(lease: number): boolean {
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
      end(lease);
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
      if (after < historyFrom) return undefined;
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
      historyFrom = revision;
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
    end,
    hasLease: (lease) => leases.has(lease),
    close: () => {
      for (const { timer } of leases.values()) clearTimeout(timer);
    },
  };
}
