/**
 * Structured log: one JSON line on standard output for each decision that affects a request or changes the state of
 * the process. Lines are buffered and written without blocking. When the reader of the output falls behind,
 * lines that exceed the buffer are dropped and their number is logged.
 */
import pino from 'pino';

export type EventFields = Readonly<Record<string, unknown>>;

export interface EventLog {
  debug(event: string, fields?: EventFields): void;
  info(event: string, fields?: EventFields): void;
  warn(event: string, fields?: EventFields): void;
  error(event: string, fields?: EventFields): void;
  /** Writes the buffered lines synchronously. */
  flush(): void;
}

export type EventLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

export interface EventLogOptions {
  /** Fields that are added to every line, such as the name of the host. */
  readonly base: EventFields;
  readonly level?: EventLevel;
  /** Size of the buffer in bytes; lines that exceed it are dropped. */
  readonly maxBufferedBytes?: number;
}

/** About 10 s of log lines of a busy host; affordable on hosts with 350 MB of memory. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;
/** Lines are batched up to this size before a write, which saves system calls under load. */
const WRITE_BYTES = 4096;
/** Longest time that a line stays in the buffer. */
const FLUSH_INTERVAL_MS = 200;

export function createEventLog(options: EventLogOptions): EventLog {
  const { base, level = 'info', maxBufferedBytes = MAX_BUFFERED_BYTES } = options;
  const destination = pino.destination({
    dest: 1,
    sync: false,
    minLength: WRITE_BYTES,
    maxLength: maxBufferedBytes,
  });
  const logger = pino(
    { base, level, messageKey: 'event', timestamp: pino.stdTimeFunctions.isoTime },
    destination,
  );
  let dropped = 0;
  destination.on('drop', () => {
    dropped += 1;
  });
  // A closed output must not end the process.
  destination.on('error', () => {
    dropped += 1;
  });
  const timer = setInterval(() => {
    if (dropped > 0) {
      logger.warn({ lines: dropped }, 'log-lines-dropped');
      dropped = 0;
    }
    destination.flush();
  }, FLUSH_INTERVAL_MS);
  timer.unref();
  return {
    debug: (event, fields = {}) => {
      logger.debug(fields, event);
    },
    info: (event, fields = {}) => {
      logger.info(fields, event);
    },
    warn: (event, fields = {}) => {
      logger.warn(fields, event);
    },
    error: (event, fields = {}) => {
      logger.error(fields, event);
    },
    flush: () => {
      destination.flushSync();
    },
  };
}

/** An event log that writes nothing, for tests and tools. */
export const SILENT_EVENTS: EventLog = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
  flush: () => undefined,
};
