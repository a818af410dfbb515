/**
 * Whether the store answers. A call to a store that was away can hang until its timeout after the store is
 * back, so those who wait are told of the first answer and can ask again at once.
 */
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { EventLog } from '../observability/index.js';
import type { StoreFailure } from './key-value-store.js';

export interface Reachability {
  /** A call was answered. */
  recordAnswer(): void;
  /** Calls the listener when the store answers after a pause; returns how to end this. */
  onRecovered(listener: () => void): () => void;
}

/** Waits for the call, but not longer than until the store answers others again. */
export async function abandonOnRecovery<Outcome, Fallback>(
  call: Promise<Outcome>,
  reachability: Reachability | undefined,
  fallback: Fallback,
): Promise<Outcome | Fallback> {
  if (reachability === undefined) return call;
  let unsubscribe: () => void = () => undefined;
  const regained = new Promise<Fallback>((resolve) => {
    unsubscribe = reachability.onRecovered(() => {
      resolve(fallback);
    });
  });
  try {
    return await Promise.race([call, regained]);
  } finally {
    unsubscribe();
  }
}

/** Waits for a write; one that is given up may have happened. */
export function abandonWriteOnRecovery<Outcome>(
  write: Promise<Result<Outcome, StoreFailure>>,
  reachability: Reachability | undefined,
): Promise<Result<Outcome, StoreFailure>> {
  const detail = 'given up, because the store answers others again';
  return abandonOnRecovery(write, reachability, err({ kind: 'unknown', detail }));
}

export interface ReachabilityOptions {
  readonly events: EventLog;
  readonly now?: () => number;
  /** A longer pause between answers means that the store was away. */
  readonly awayMs?: number;
}

/** Reads come every 500 ms; a store that is merely slow answers them within another 500 ms. */
const AWAY_MS = 1200;

export function createReachability(options: ReachabilityOptions): Reachability {
  const { events, now = () => performance.now(), awayMs = AWAY_MS } = options;
  const listeners = new Set<() => void>();
  let answeredAt = -Infinity;

  return {
    recordAnswer: () => {
      const pauseMs = now() - answeredAt;
      answeredAt = now();
      if (pauseMs < awayMs) return;
      if (Number.isFinite(pauseMs)) events.info('store-regained', { awayMs: Math.round(pauseMs) });
      for (const listener of listeners) listener();
    },
    onRecovered: (listener) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
  };
}
