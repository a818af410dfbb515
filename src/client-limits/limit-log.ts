/**
 * Counts refused requests and closed connections by listener and cause, and logs them at a bounded rate: one line a
 * second for each cause at most, with the number since the last line.
 */

/** Why a request was refused or a connection closed. */
export type LimitCause =
  | 'body-too-large'
  | 'buffer-full'
  | 'body-fragmented'
  | 'body-abandoned'
  | 'body-timeout'
  | 'header-timeout'
  | 'response-timeout'
  | 'idle-timeout'
  | 'pipelined-requests'
  | 'connection-evicted'
  | 'connections-exhausted'
  | 'first-message-timeout'
  | 'first-message-too-large'
  | 'message-timeout'
  | 'message-too-large'
  | 'unread-messages';

export interface LimitReport {
  readonly listener: string;
  readonly cause: LimitCause;
  /** Number since the last report of the same listener and cause. */
  readonly count: number;
}

export interface LimitLogOptions {
  count(listener: string, cause: LimitCause): void;
  write(report: LimitReport): void;
  readonly now?: () => number;
  /** Shortest time between two lines of one listener and cause, in milliseconds. */
  readonly intervalMs?: number;
}

export interface LimitLog {
  record(listener: string, cause: LimitCause): void;
  /** Writes the lines that are due. */
  flush(): void;
}

/** A flood of clients must not become a flood of log lines, whose buffer also takes memory. */
const LOG_INTERVAL_MS = 1000;

interface Tally {
  readonly listener: string;
  readonly cause: LimitCause;
  count: number;
  writtenAt: number;
}

export function createLimitLog(options: LimitLogOptions): LimitLog {
  const { now = () => performance.now(), intervalMs = LOG_INTERVAL_MS } = options;
  const tallies = new Map<string, Tally>();

  function writeIfDue(tally: Tally) {
    const at = now();
    if (tally.count === 0 || at - tally.writtenAt < intervalMs) return;
    const { listener, cause, count } = tally;
    options.write({ listener, cause, count });
    tally.count = 0;
    tally.writtenAt = at;
  }

  return {
    record: (listener, cause) => {
      options.count(listener, cause);
      const key = `${listener} ${cause}`;
      const tally = tallies.get(key) ?? { listener, cause, count: 0, writtenAt: -Infinity };
      tallies.set(key, tally);
      tally.count += 1;
      writeIfDue(tally);
    },
    flush: () => {
      for (const tally of tallies.values()) writeIfDue(tally);
    },
  };
}
