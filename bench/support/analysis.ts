/**
 * Figures of one phase from what the callers saw and what the workers recorded.
 */
import { build } from 'hdr-histogram-js';
import type { Run } from '../../stand-ins/worker/audit.js';
import type { StartedWorker } from '../../stand-ins/control.js';
import type { Sent, Result } from './arrivals.js';
import type { CatalogueFile } from './mix.js';

/** What one worker recorded. */
export interface WorkerRecord {
  readonly id: string;
  readonly runs: readonly Run[];
  readonly violations: readonly { readonly kind: string; readonly effect: string }[];
}

export interface ClassFigures {
  readonly kind: string;
  readonly sent: number;
  readonly results: Readonly<Record<Result, number>>;
  readonly reasons: Readonly<Record<string, number>>;
  /** Requests of which every task has started and answered. */
  readonly completed: number;
  readonly waitP50Ms: number;
  readonly waitP99Ms: number;
  readonly responseP50Ms: number;
  readonly responseP99Ms: number;
}

export interface PackingFigures {
  /** Samples in which some request had waited for longer than the threshold. */
  readonly samples: number;
  readonly slots: number;
  readonly processors: number;
  readonly memory: number;
  /** Mean over those samples of what the waiting teams lack of their weighted share. */
  readonly shareDistance: number;
  readonly shareDistanceByTeam: Readonly<Record<string, number>>;
}

/** A request with the runs of its tasks. */
export interface Traced {
  readonly sent: Sent;
  readonly team: string;
  readonly startedAt: number | undefined;
  readonly endedAt: number | undefined;
}

/** A wait below this is the time that any request takes to reach a worker. */
const WAITING_MS = 100;
const SAMPLE_MS = 100;
const RESULTS: readonly Result[] = ['done', 'accepted', 'refused', 'unknown', 'failed', 'pending'];

/** Joins requests with their runs by the id in the task id. */
export function traceRequests(
  sent: readonly Sent[],
  records: readonly WorkerRecord[],
): readonly Traced[] {
  const byId = new Map<string, Run[]>();
  for (const { runs } of records) {
    for (const run of runs) {
      const id = run.task.split('.')[1] ?? '';
      byId.set(id, [...(byId.get(id) ?? []), run]);
    }
  }
  return sent.map((each) => {
    const runs = byId.get(each.id) ?? [];
    const answered = runs.filter(({ outcome }) => outcome === 'answered');
    const complete = answered.length >= each.stream.tasks;
    const started = new Set(runs.map(({ task }) => task)).size >= each.stream.tasks;
    return {
      sent: each,
      team: runs[0]?.team ?? '',
      startedAt: started ? maxOf(runs.map(({ start }) => start)) : undefined,
      endedAt: complete ? maxOf(answered.map(({ end }) => end ?? 0)) : undefined,
    };
  });
}

/** Not `Math.max(...)`, whose arguments are limited. */
function maxOf(values: readonly number[]): number {
  return values.reduce((max, value) => Math.max(max, value), -Infinity);
}

export function summarizeClasses(traced: readonly Traced[]): readonly ClassFigures[] {
  const kinds = [...new Set(traced.map(({ sent }) => sent.stream.kind))];
  return kinds.map((kind) => {
    const rows = traced.filter(({ sent }) => sent.stream.kind === kind);
    const waits = rows.flatMap(({ sent, startedAt }) =>
      startedAt === undefined ? [] : [startedAt - sent.submittedAt],
    );
    const responses = rows.flatMap((row) => responseOf(row) ?? []);
    return {
      kind,
      sent: rows.length,
      results: countBy(
        RESULTS,
        rows.map(({ sent }) => sent.result),
      ),
      reasons: countReasons(rows),
      completed: rows.filter(({ endedAt }) => endedAt !== undefined).length,
      waitP50Ms: percentile(waits, 50),
      waitP99Ms: percentile(waits, 99),
      responseP50Ms: percentile(responses, 50),
      responseP99Ms: percentile(responses, 99),
    };
  });
}

/** Callers of interactive work wait for the answer; the end of a job is read from the workers. */
function responseOf({ sent, endedAt }: Traced): number | undefined {
  if (sent.result === 'done') return sent.answeredAt - sent.submittedAt;
  return sent.result === 'accepted' && endedAt !== undefined
    ? endedAt - sent.submittedAt
    : undefined;
}

function countBy(names: readonly Result[], values: readonly Result[]): Record<Result, number> {
  const counts = Object.fromEntries(names.map((name) => [name, 0])) as Record<Result, number>;
  for (const value of values) counts[value] += 1;
  return counts;
}

function countReasons(rows: readonly Traced[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { sent } of rows) {
    if (sent.reason === '' || sent.result === 'accepted') continue;
    const name = `${sent.result}: ${sent.reason}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

/** Clocks in milliseconds may show a start one unit before the submission. */
export function percentile(values: readonly number[], rank: number): number {
  if (values.length === 0) return Number.NaN;
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of values) histogram.recordValue(Math.max(0, value));
  return histogram.getValueAtPercentile(rank);
}

export interface PackingOptions {
  readonly traced: readonly Traced[];
  readonly records: readonly WorkerRecord[];
  readonly workers: readonly StartedWorker[];
  readonly teams: CatalogueFile['teams'];
  readonly teamOf: (entry: string) => string;
  readonly from: number;
  readonly until: number;
}

interface Use {
  slots: number;
  processors: number;
  memoryMb: number;
}

export function measurePacking(options: PackingOptions): PackingFigures {
  const { records, workers, from, until } = options;
  const capacity = sumUse(
    workers.map(({ slots, capacity: { processors, memoryMb } }) => {
      return { slots, processors, memoryMb };
    }),
  );
  const runs = records.flatMap((record) => record.runs);
  const inPhase = runs.filter(({ start, end = Infinity }) => start < until && end > from);
  const totals = { samples: 0, slots: 0, processors: 0, memoryMb: 0, distance: 0 };
  const lacking: Record<string, number> = {};
  for (let at = from; at < until; at += SAMPLE_MS) {
    const waiting = findWaitingTeams(options, at);
    if (waiting.size === 0) continue;
    const running = inPhase.filter(({ start, end = Infinity }) => start <= at && end > at);
    const use = sumUse(running.map(describeUse));
    totals.samples += 1;
    totals.slots += use.slots / capacity.slots;
    totals.processors += use.processors / capacity.processors;
    totals.memoryMb += use.memoryMb / capacity.memoryMb;
    for (const [team, part] of measureLack(options, { waiting, running, capacity })) {
      totals.distance += part;
      lacking[team] = (lacking[team] ?? 0) + part;
    }
  }
  const mean = (total: number) => total / totals.samples;
  return {
    samples: totals.samples,
    slots: mean(totals.slots),
    processors: mean(totals.processors),
    memory: mean(totals.memoryMb),
    shareDistance: mean(totals.distance),
    shareDistanceByTeam: Object.fromEntries(
      Object.entries(lacking).map(([team, total]) => [team, mean(total)]),
    ),
  };
}

function describeUse({ size }: Run): Use {
  return { slots: 1, processors: size.processors, memoryMb: size.memoryMb };
}

function sumUse(uses: readonly Use[]): Use {
  const sum = { slots: 0, processors: 0, memoryMb: 0 };
  for (const { slots, processors, memoryMb } of uses) {
    sum.slots += slots;
    sum.processors += processors;
    sum.memoryMb += memoryMb;
  }
  return sum;
}

function findWaitingTeams({ traced, teamOf }: PackingOptions, at: number): ReadonlySet<string> {
  const teams = new Set<string>();
  for (const { sent, startedAt } of traced) {
    const { submittedAt, answeredAt, result, stream } = sent;
    if (submittedAt + WAITING_MS > at || (startedAt ?? Infinity) <= at) continue;
    if (result !== 'accepted' && answeredAt > 0 && answeredAt <= at) continue;
    teams.add(teamOf(stream.entry));
  }
  return teams;
}

interface Moment {
  readonly waiting: ReadonlySet<string>;
  readonly running: readonly Run[];
  readonly capacity: Use;
}

/**
 * The share that a waiting team lacks: its weight among the teams with work, minus its part of the
 * dominant shares in use. A team at its upper limit lacks nothing.
 */
function measureLack({ teams }: PackingOptions, { waiting, running, capacity }: Moment) {
  const byTeam = new Map<string, Run[]>();
  for (const run of running) byTeam.set(run.team, [...(byTeam.get(run.team) ?? []), run]);
  const active = [...new Set([...waiting, ...byTeam.keys()])];
  const dominantOf = (team: string) => {
    const use = sumUse((byTeam.get(team) ?? []).map(describeUse));
    return Math.max(use.processors / capacity.processors, use.memoryMb / capacity.memoryMb);
  };
  const weightOf = (team: string) => teams[team]?.share ?? 0;
  const used = active.reduce((sum, team) => sum + dominantOf(team), 0);
  const weights = active.reduce((sum, team) => sum + weightOf(team), 0);
  return [...waiting]
    .filter((team) => (byTeam.get(team)?.length ?? 0) < (teams[team]?.limit ?? 0))
    .map((team) => {
      const fair = weightOf(team) / weights;
      return [team, Math.max(0, fair - (used > 0 ? dominantOf(team) / used : 0))] as const;
    });
}

/**
 * Time after the overload until a whole second of lookups waits no longer than the bound at the 99th
 * percentile and none is refused; undefined if that did not happen.
 */
export function findRecovery(
  traced: readonly Traced[],
  overloadEnd: number,
  boundMs: number,
): number | undefined {
  const lookups = traced.filter(({ sent }) => sent.stream.kind === 'lookup');
  const last = maxOf(lookups.map(({ sent }) => sent.submittedAt));
  const SECOND_MS = 1000;
  for (let at = overloadEnd; at + SECOND_MS <= last; at += SAMPLE_MS) {
    const second = lookups.filter(
      ({ sent }) => sent.submittedAt >= at && sent.submittedAt < at + SECOND_MS,
    );
    const waits = second.map(({ sent, startedAt }) => (startedAt ?? Infinity) - sent.submittedAt);
    if (waits.length === 0 || waits.includes(Infinity)) continue;
    if (percentile(waits, 99) <= boundMs) return at - overloadEnd;
  }
  return undefined;
}
