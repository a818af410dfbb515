/**
 * Logs are short sentences with a fixed prefix per part.
 */

/** Values that accompany a log line, for the structured format. */
export type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

/** The log of one part. */
export interface Log {
  debug(message: string, fields?: Fields): void;
  info(message: string, fields?: Fields): void;
  warn(message: string, fields?: Fields): void;
  error(message: string, fields?: Fields): void;
}

/** A log that writes nothing, for tests and for embedding. */
export const SILENT_LOG: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
