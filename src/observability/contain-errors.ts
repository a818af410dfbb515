/**
 * Keeps one unexpected error from ending the process, which holds the connections of many callers and, on the leader,
 * the leases of all workers. Each error is logged and counted. A process that throws again and again is ended after
 * all, because its state cannot be trusted and a restart is quicker than errors in a loop.
 */
import type { EventLog } from './event-log.js';
import { describeError } from './fault-containment.js';

/** Errors within the window after which the process ends. */
const MAX_ERRORS = 50;
const WINDOW_MS = 10_000;

export interface ErrorContainment {
  readonly events: EventLog;
  /** Counts an error, by whether it was thrown or a promise was rejected. */
  readonly count: (origin: 'exception' | 'rejection') => void;
  /** Ends the process. */
  readonly exit: () => void;
  readonly maxErrors?: number;
  readonly monotonicNow?: () => number;
}

export interface ErrorHandlers {
  readonly onException: (error: unknown) => void;
  readonly onRejection: (error: unknown) => void;
}

export function createErrorHandlers(options: ErrorContainment): ErrorHandlers {
  const { events, maxErrors = MAX_ERRORS, monotonicNow = () => performance.now() } = options;
  let recent: number[] = [];

  function contain(origin: 'exception' | 'rejection', error: unknown) {
    const now = monotonicNow();
    recent = [...recent.filter((at) => now - at < WINDOW_MS), now];
    options.count(origin);
    events.error('unexpected-error', {
      origin,
      error: describeError(error),
      recent: recent.length,
    });
    if (recent.length < maxErrors) return;
    events.error('too-many-unexpected-errors', { errors: recent.length, windowMs: WINDOW_MS });
    events.flush();
    options.exit();
  }

  return {
    onException: (error) => {
      contain('exception', error);
    },
    onRejection: (error) => {
      contain('rejection', error);
    },
  };
}

/** Contains all errors of this process that nothing else handles. */
export function containErrors(options: ErrorContainment): void {
  const { onException, onRejection } = createErrorHandlers(options);
  process.on('uncaughtException', onException);
  process.on('unhandledRejection', onRejection);
}
