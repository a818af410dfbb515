/**
 * Logs are short sentences with a fixed prefix per part.
 */

/** Values that accompany a log line, for the structured format. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** The log of one part. */
export interface Log {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** A log that writes nothing, for tests and for embedding. */
export const SILENT_LOG: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
