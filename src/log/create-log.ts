/**
 * Creates logs on top of loglevel, with one line per message, as text or as a JSON object.
 */
import loglevel from 'loglevel';
import type { LogFields, Log } from './log.js';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

/** How a log is written. */
export interface LogOptions {
  /** Lowest level that is written; `info` by default. */
  readonly level?: LogLevel;
  /** `text` by default. */
  readonly format?: 'text' | 'json';
  /** Receives each line without its line break; writes to standard error by default. */
  readonly write?: (line: string) => void;
  readonly now?: () => number;
}

/** Values with other characters are quoted, so that a text line can be split at spaces. */
const PLAIN_VALUE = /^[\w.:/@+-]+$/;
const LINE_BREAKS = /[\r\n\u2028\u2029]+/g;

/** Creates the log of a component; every text line starts with `[part]`. */
export function createLog(part: string, options: LogOptions = {}): Log {
  const write = options.write ?? writeToStandardError;
  const format = options.format === 'json' ? formatJson : formatText;
  const now = options.now ?? Date.now;
  // loglevel returns the same logger for the same name; a symbol keeps two hosts in one process apart.
  const logger = loglevel.getLogger(Symbol(part));
  logger.methodFactory = (level) => (message: string, fields?: LogFields) => {
    write(format({ time: new Date(now()).toISOString(), level, part, message }, fields));
  };
  logger.setLevel(options.level ?? 'info', false);
  return {
    debug: (message, fields) => {
      logger.debug(message, fields);
    },
    info: (message, fields) => {
      logger.info(message, fields);
    },
    warn: (message, fields) => {
      logger.warn(message, fields);
    },
    error: (message, fields) => {
      logger.error(message, fields);
    },
  };
}

interface LogLine {
  readonly time: string;
  readonly level: string;
  readonly part: string;
  readonly message: string;
}

function formatText(line: LogLine, fields: LogFields = {}): string {
  const message = line.message.replaceAll(LINE_BREAKS, ' ');
  const values = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${quoteValue(String(value))}`);
  return [`[${line.part}]`, line.time, line.level, message, ...values].join(' ');
}

function quoteValue(value: string): string {
  return PLAIN_VALUE.test(value) ? value : JSON.stringify(value);
}

/** Spreads the line twice: first for the order of keys, then to override fields of equal name. */
function formatJson(line: LogLine, fields: LogFields = {}): string {
  return JSON.stringify({ ...line, ...fields, ...line });
}

function writeToStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}
