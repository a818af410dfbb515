/**
 * Detects when the store answers again after an outage. A call that was sent during the outage can hang
 * until its timeout although the store has recovered, so callers are notified of the first answer, abandon
 * the hanging call and retry at once.
 */
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { EventLog } from '../observability/index.js';
import type { StoreFailure } from './key-value-store.js';

export interface Reachability {
  /** Records that a call was answered. */
  recordAnswer(): void;
  /** Calls the listener when the store answers after an outage; returns a function that unsubscribes. */
  onRecovered(listener: () => void): () => void;
}

/** Waits for the call, or resolves with the fallback if the store recovers first. */
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

/** Waits for a write; the outcome of an abandoned write is unknown. */
export function abandonWriteOnRecovery<Outcome>(
  write: Promise<Result<Outcome, StoreFailure>>,
  reachability: Reachability | undefined,
): Promise<Result<Outcome, StoreFailure>> {
  const detail = 'abandoned: the store has recovered and answers other calls';
  return abandonOnRecovery(write, reachability, err({ kind: 'unknown', detail }));
}

export interface ReachabilityOptions {
  readonly events: EventLog;
  readonly now?: () => number;
  /** A longer gap between answers counts as an outage of the store. */
  readonly awayMs?: number;
}

/** Reads are sent every 500 ms, and a store that is merely slow answers within another 500 ms. */
const MIN_OUTAGE_MS = 1200;

export function createReachability(options: ReachabilityOptions): Reachability {
  const { events, now = () => performance.now(), awayMs = MIN_OUTAGE_MS } = options;
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
