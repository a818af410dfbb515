/**
 * In-memory state of the key-value stand-in: compare-and-swap on versions, leases and waiting for changes.
 */
import { randomUUID } from 'node:crypto';

export interface StoredValue {
  readonly value: string;
  readonly version: number;
  readonly lease?: string;
}

export type WriteResult =
  | { readonly kind: 'written'; readonly version: number }
  | { readonly kind: 'conflict'; readonly version: number }
  | { readonly kind: 'no-lease' };

export interface Write {
  readonly key: string;
  /** Version that the key must have; 0 if it must not exist. */
  readonly expectedVersion: number;
  /** Undefined removes the key. */
  readonly value: string | undefined;
  /** Lease whose end removes the key. */
  readonly lease?: string;
}

export interface ValueStore {
  get(key: string): StoredValue | undefined;
  list(prefix: string): readonly (StoredValue & { readonly key: string })[];
  write(write: Write): WriteResult;
  /** Resolves when the version differs from `sinceVersion`, or after the wait. */
  waitForChange(key: string, sinceVersion: number, waitMs: number): Promise<'changed' | 'same'>;
  grantLease(leaseMs: number): string;
  /** False if the lease has ended. */
  renewLease(lease: string): boolean;
  endLease(lease: string): void;
  close(): void;
}

interface Lease {
  readonly leaseMs: number;
  timer: NodeJS.Timeout;
}

export function createValueStore(): ValueStore {
  const values = new Map<string, StoredValue>();
  const leases = new Map<string, Lease>();
  const waitersByKey = new Map<string, Set<() => void>>();
  let lastVersion = 0;

  const versionOf = (key: string) => values.get(key)?.version ?? 0;

  function write({ key, expectedVersion, value, lease }: Write): WriteResult {
    const version = versionOf(key);
    if (version !== expectedVersion) return { kind: 'conflict', version };
    if (lease !== undefined && !leases.has(lease)) return { kind: 'no-lease' };
    lastVersion += 1;
    if (value === undefined) values.delete(key);
    else
      values.set(key, { value, version: lastVersion, ...(lease === undefined ? {} : { lease }) });
    for (const wake of waitersByKey.get(key) ?? []) wake();
    return { kind: 'written', version: lastVersion };
  }

  function endLease(lease: string): void {
    clearTimeout(leases.get(lease)?.timer);
    leases.delete(lease);
    const ended = [...values].filter(([, stored]) => stored.lease === lease);
    for (const [key, { version }] of ended) {
      write({ key, expectedVersion: version, value: undefined });
    }
  }

  function startTimer(lease: string, leaseMs: number): NodeJS.Timeout {
    return setTimeout(() => {
      endLease(lease);
    }, leaseMs);
  }

  function waitForChange(key: string, sinceVersion: number, waitMs: number) {
    if (versionOf(key) !== sinceVersion) return Promise.resolve('changed' as const);
    return new Promise<'changed' | 'same'>((resolve) => {
      const waiters = waitersByKey.get(key) ?? new Set();
      waitersByKey.set(key, waiters);
      const finish = () => {
        clearTimeout(timer);
        waiters.delete(finish);
        if (waiters.size === 0) waitersByKey.delete(key);
        resolve(versionOf(key) === sinceVersion ? 'same' : 'changed');
      };
      const timer = setTimeout(finish, waitMs);
      waiters.add(finish);
    });
  }

  return {
    get: (key) => values.get(key),
    list: (prefix) =>
      [...values]
        .filter(([key]) => key.startsWith(prefix))
        .map(([key, stored]) => ({ key, ...stored })),
    write,
    waitForChange,
    grantLease: (leaseMs) => {
      const lease = randomUUID();
      leases.set(lease, { leaseMs, timer: startTimer(lease, leaseMs) });
      return lease;
    },
    renewLease: (lease) => {
      const found = leases.get(lease);
      if (found === undefined) return false;
      clearTimeout(found.timer);
      found.timer = startTimer(lease, found.leaseMs);
      return true;
    },
    endLease,
    close: () => {
      for (const { timer } of leases.values()) clearTimeout(timer);
      for (const waiters of waitersByKey.values()) for (const wake of [...waiters]) wake();
    },
  };
}
