/**
 * Parses the structured log lines that hosts write to standard output and merges them into one
 * timeline, so that a request can be traced afterwards from the logs alone.
 */

/** One structured line of a host's log. */
export interface LogEvent {
  /** Unix milliseconds. */
  readonly atMs: number;
  readonly host: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface LogFilter {
  /** Id of a request; includes the lines of its tasks and of its steps' permits. */
  readonly request?: string | undefined;
  readonly team?: string | undefined;
  readonly worker?: string | undefined;
  readonly event?: string | undefined;
  /** Unix milliseconds. */
  readonly sinceMs?: number | undefined;
}

export interface ParsedLog {
  readonly events: readonly LogEvent[];
  /** Line numbers, from 1, of lines that are not structured. */
  readonly invalidLines: readonly number[];
}

/** Fields of every line that are shown in columns of their own or are not needed for tracing. */
const OMITTED_FIELDS = new Set(['time', 'host', 'event', 'level', 'dataCentre']);

export function parseLog(text: string): ParsedLog {
  const events: LogEvent[] = [];
  const invalidLines: number[] = [];
  for (const [index, line] of text.split('\n').entries()) {
    if (line.trim() === '') continue;
    const event = parseLine(line);
    if (event === undefined) invalidLines.push(index + 1);
    else events.push(event);
  }
  return { events, invalidLines };
}

function parseLine(line: string): LogEvent | undefined {
  // A log collector may prefix the line with its own columns.
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
  const fields = Object.fromEntries(
    Object.entries(record).filter(([name]) => !OMITTED_FIELDS.has(name)),
  );
  return { atMs, host: typeof host === 'string' ? host : '', event, fields };
}

/** Sorts the matching events by time; events of the same millisecond keep their order. */
export function mergeLogs(logs: readonly ParsedLog[], filter: LogFilter = {}): LogEvent[] {
  return logs
    .flatMap(({ events }) => events)
    .filter((event) => matchesLogFilter(event, filter))
    .sort((left, right) => left.atMs - right.atMs);
}

function matchesLogFilter({ atMs, event, fields }: LogEvent, filter: LogFilter): boolean {
  if (filter.sinceMs !== undefined && atMs < filter.sinceMs) return false;
  if (filter.event !== undefined && event !== filter.event) return false;
  if (filter.team !== undefined && fields.team !== filter.team) return false;
  if (filter.worker !== undefined && fields.worker !== filter.worker) return false;
  return filter.request === undefined || belongsToRequest(fields, filter.request);
}

/** Ids of tasks and steps start with the id of their request. */
function belongsToRequest(fields: LogEvent['fields'], request: string): boolean {
  if (fields.job === request) return true;
  return [fields.task, fields.step].some(
    (name) => typeof name === 'string' && name.startsWith(`${request}.`),
  );
}
