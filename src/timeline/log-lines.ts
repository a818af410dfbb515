/**
 * Reads the structured lines that hosts write to standard output and merges them into one time line, for
 * explaining a request after the fact from nothing but the logs.
 */

/** One line of a host's log. */
export interface LogEvent {
  /** Unix milliseconds. */
  readonly atMs: number;
  readonly host: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface LogFilter {
  /** Id of a request; lines of its tasks and of its advice are included. */
  readonly request?: string | undefined;
  readonly team?: string | undefined;
  readonly worker?: string | undefined;
  readonly event?: string | undefined;
  /** Unix milliseconds. */
  readonly sinceMs?: number | undefined;
}

export interface ParsedLog {
  readonly events: readonly LogEvent[];
  /** Numbers of the lines, from 1, that are no structured lines. */
  readonly invalidLines: readonly number[];
}

/** Fields that every line has and that are shown in their own columns, or say nothing to a reader. */
const COLUMNS = new Set(['time', 'host', 'event', 'level', 'dataCentre']);

export function parseLog(text: string): ParsedLog {
  const events: LogEvent[] = [];
  const unreadable: number[] = [];
  for (const [index, line] of text.split('\n').entries()) {
    if (line.trim() === '') continue;
    const event = readLine(line);
    if (event === undefined) unreadable.push(index + 1);
    else events.push(event);
  }
  return { events, invalidLines: unreadable };
}

function readLine(line: string): LogEvent | undefined {
  // A collector may put its own columns before the line.
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  let record: Readonly<Record<string, unknown>>;
  try {
    record = JSON.parse(line.slice(start)) as Readonly<Record<string, unknown>>;
  } catch {
    return undefined;
  }
  const { time, host, event } = record;
  const atMs = typeof time === 'string' ? Date.parse(time) : NaN;
  if (Number.isNaN(atMs) || typeof event !== 'string') return undefined;
  const fields = Object.fromEntries(Object.entries(record).filter(([name]) => !COLUMNS.has(name)));
  return { atMs, host: typeof host === 'string' ? host : '', event, fields };
}

/** All events that pass the filter, by time; events of the same millisecond keep their order. */
export function mergeLogs(logs: readonly ParsedLog[], filter: LogFilter = {}): LogEvent[] {
  return logs
    .flatMap(({ events }) => events)
    .filter((event) => passes(event, filter))
    .sort((left, right) => left.atMs - right.atMs);
}

function passes({ atMs, event, fields }: LogEvent, filter: LogFilter): boolean {
  if (filter.sinceMs !== undefined && atMs < filter.sinceMs) return false;
  if (filter.event !== undefined && event !== filter.event) return false;
  if (filter.team !== undefined && fields.team !== filter.team) return false;
  if (filter.worker !== undefined && fields.worker !== filter.worker) return false;
  return filter.request === undefined || concerns(fields, filter.request);
}

/** Names of tasks and steps begin with the id of their request. */
function concerns(fields: LogEvent['fields'], request: string): boolean {
  if (fields.job === request) return true;
  return [fields.task, fields.step].some(
    (name) => typeof name === 'string' && name.startsWith(`${request}.`),
  );
}
