/**
 * The interface of logs. Each component of a host has its own; a message is a short sentence.
 */

/** Structured values of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** The log of one component. */
export interface Log {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** Discards all messages; for tests and for embedding. */
export const SILENT_LOG: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
