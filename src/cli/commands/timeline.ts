/**
 * The timeline command.
 */
import { Command, Option, UsageError } from 'clipanion';
import type { TimelineRow } from '../../operators/index.js';
import { mergeLogs, parseLog } from '../../timeline/index.js';
import type { LogEvent } from '../../timeline/index.js';
import { EXIT, type ExitCode } from '../exit-code.js';
import { sanitize } from '../table.js';
import { HostCommand } from '../cli-command.js';

const UNIT_MS: Readonly<Record<string, number>> = { s: 1000, m: 60_000, h: 3_600_000 };

/** Prints the merged timeline, one event a line. */
export class TimelineCommand extends HostCommand {
  static override paths = [['timeline']];
  static override usage = Command.Usage({
    description: 'Print the events of all reachable hosts in causal order, one a line.',
    details:
      'With --log, the events are read from structured log files of hosts instead, sorted by time.',
  });

  log = Option.Array('--log', {
    description: 'Log file of a host; repeat it for each host. No host is called then',
  });

  request = Option.String('--request', { description: 'Only events of this request' });
  team = Option.String('--team', { description: 'Only events of this team' });
  worker = Option.String('--worker', { description: 'Only events of this worker' });
  kind = Option.String('--kind', { description: 'Only events of this kind' });
  since = Option.String('--since', {
    description: 'Only events since a time (2026-01-31T08:00Z) or within a duration (90s, 5m, 2h)',
  });

  override async perform(): Promise<ExitCode> {
    const { request, team, worker, kind } = this;
    const since = this.since === undefined ? undefined : parseSince(this.since, Date.now());
    if (this.log !== undefined) return this.printLogs(this.log, since);
    const query = new URLSearchParams(
      Object.entries({ request, team, worker, kind, since: since?.toString() }).flatMap(
        ([name, value]): [string, string][] => (value === undefined ? [] : [[name, value]]),
      ),
    );
    const path = `timeline?${query.toString()}`;
    const table = await this.connectOperator().table(path);
    if (table.isErr()) return this.fail(table.error);
    for (const event of table.value.rows as readonly TimelineRow[]) {
      this.print(this.json ? JSON.stringify(event) : formatTimelineEvent(event));
    }
    const { unreachable } = table.value;
    if (unreachable.length > 0) {
      this.warn(
        `Some hosts did not respond, so their events are missing: ${unreachable.join(', ')}`,
      );
    }
    return EXIT.success;
  }

  private async printLogs(files: readonly string[], sinceMs: number | undefined) {
    const logs = await Promise.all(files.map(async (file) => parseLog(await this.readText(file))));
    const { request, team, worker, kind: event } = this;
    for (const entry of mergeLogs(logs, { request, team, worker, event, sinceMs })) {
      this.print(this.json ? JSON.stringify(entry) : formatLogEvent(entry));
    }
    for (const [index, { invalidLines }] of logs.entries()) {
      if (invalidLines.length === 0) continue;
      const count = String(invalidLines.length);
      this.warn(
        `${files[index] ?? ''}:${String(invalidLines[0])}: skipped ${count} lines that are not structured log lines; this is the first.`,
      );
    }
    return EXIT.success;
  }
}

/** Parses a time or a duration before `now` to milliseconds since the epoch. */
export function parseSince(text: string, now: number): number {
  const [, amount, unit = ''] = /^(\d{1,9})([smh])$/.exec(text) ?? [];
  const unitMs = UNIT_MS[unit];
  if (amount !== undefined && unitMs !== undefined)
    return Math.max(0, now - Number(amount) * unitMs);
  const time = Date.parse(text);
  if (Number.isNaN(time)) {
    throw new UsageError(`--since is "${text}"; write a time or a duration such as 5m.`);
  }
  return time;
}

function formatLogEvent({ atMs, host, event, fields }: LogEvent): string {
  const named = Object.entries(fields).map(
    ([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`,
  );
  return sanitize([new Date(atMs).toISOString(), host, event, ...named].join(' '));
}

function formatTimelineEvent(event: TimelineRow): string {
  const { at, host, kind, request, team, worker, detail } = event;
  const named = Object.entries({ request, team, worker }).flatMap(([name, value]) =>
    value === undefined ? [] : [`${name}=${value}`],
  );
  const time = `${new Date(at.ms).toISOString()}+${String(at.counter)}`;
  return sanitize(
    [time, host, kind, ...named, ...(detail === undefined ? [] : [detail])].join(' '),
  );
}
