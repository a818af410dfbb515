/**
 * Keeps an error in the handler of one item away from the others, and an error in a loop from ending it. A loop that
 * ends while its process goes on is worse than the end of the process: a leader that no longer followed the workers
 * went on with its copy of them for the rest of its term. Each error is counted, and logged at a bounded rate.
 */
import type { EventFields, EventLog } from './event-log.js';
import type { Meters } from './meters.js';

export interface FaultContainment {
  /** Calls the handler of one item; `source` names the kind of item in the log and the metrics. */
  readonly contain: (source: string, fields: EventFields, handle: () => void) => void;
  /** Runs a loop until it ends by itself. After an error it is run again from its beginning, after a pause. */
  readonly keepRunning: (loop: string, run: () => Promise<void>) => void;
}

export interface FaultContainmentOptions {
  readonly events: EventLog;
  readonly meters?: Pick<Meters, 'containedErrors' | 'loopFailures'> | undefined;
  /** Pause after the first failure of a loop; it doubles with each failure that follows soon. */
  readonly minPauseMs?: number;
  readonly maxPauseMs?: number;
  readonly monotonicNow?: () => number;
}

/** A leader has to learn of a leaving worker within 2 s, and its lease lasts for 1.2 s. */
const MIN_PAUSE_MS = 100;
/** A loop that fails at once each time reads the store this often; the store limits the rate of calls. */
const MAX_PAUSE_MS = 2000;
/** A loop that ran for this long before it failed is restarted after the shortest pause. */
const STABLE_MS = 10_000;
/** Interval of log lines about the same error. The handler of an entry may fail at each listing. */
const REPEAT_LOG_MS = 60_000;
/** Bound of the errors whose last line is remembered. */
const MAX_REMEMBERED = 200;

export function createFaultContainment(options: FaultContainmentOptions): FaultContainment {
  const { events, meters, minPauseMs = MIN_PAUSE_MS, maxPauseMs = MAX_PAUSE_MS } = options;
  const { monotonicNow = () => performance.now() } = options;
  const loggedAt = new Map<string, number>();

  function isLogDue(source: string, error: unknown): boolean {
    const key = `${source} ${String(error)}`;
    const last = loggedAt.get(key);
    if (last !== undefined && monotonicNow() - last < REPEAT_LOG_MS) return false;
    if (loggedAt.size >= MAX_REMEMBERED) loggedAt.clear();
    loggedAt.set(key, monotonicNow());
    return true;
  }

  async function runUntilEnd(loop: string, run: () => Promise<void>) {
    let pauseMs = minPauseMs;
    for (;;) {
      const startedAt = monotonicNow();
      try {
        await run();
        return;
      } catch (error) {
        if (monotonicNow() - startedAt > STABLE_MS) pauseMs = minPauseMs;
        meters?.loopFailures.inc({ loop });
        if (isLogDue(loop, error)) {
          events.error('loop-failed', { loop, error: describeError(error), restartInMs: pauseMs });
        }
      }
      await sleep(pauseMs);
      pauseMs = Math.min(maxPauseMs, pauseMs * 2);
    }
  }

  return {
    contain: (source, fields, handle) => {
      try {
        handle();
      } catch (error) {
        meters?.containedErrors.inc({ source });
        if (isLogDue(source, error)) {
          events.error('error-contained', { source, ...fields, error: describeError(error) });
        }
      }
    },
    keepRunning: (loop, run) => {
      void runUntilEnd(loop, run);
    },
  };
}

export function describeError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
