/**
 * Computes the results of a phase from the callers' view and the workers' records.
 */
import { build } from 'hdr-histogram-js';
import type { Run } from '../../stand-ins/worker/audit.js';
import type { StartedWorker } from '../../stand-ins/control.js';
import type { SentRequest, RequestResult } from './arrivals.js';
import type { CatalogueFile } from './workload.js';

/** The record of one worker. */
export interface WorkerRecord {
  readonly id: string;
  readonly runs: readonly Run[];
  readonly violations: readonly { readonly kind: string; readonly effect: string }[];
}

export interface ClassSummary {
  readonly kind: string;
  readonly sent: number;
  readonly results: Readonly<Record<RequestResult, number>>;
  readonly reasons: Readonly<Record<string, number>>;
  /** Requests of which every task was answered. */
  readonly completed: number;
  readonly waitP50Ms: number;
  readonly waitP99Ms: number;
  readonly responseP50Ms: number;
  readonly responseP99Ms: number;
}

export interface PackingSummary {
  /** Samples in which some request had waited for longer than the threshold. */
  readonly samples: number;
  readonly slots: number;
  readonly processors: number;
  readonly memory: number;
  /** Mean over those samples of the summed share deficits of the waiting teams. */
  readonly shareDistance: number;
  readonly shareDistanceByTeam: Readonly<Record<string, number>>;
}

/** A request with the runs of its tasks. */
export interface TracedRequest {
  readonly sent: SentRequest;
  readonly team: string;
  readonly startedAt: number | undefined;
  readonly endedAt: number | undefined;
}

/** Shorter waits are the normal time to reach a worker and do not count as queueing. */
const WAITING_THRESHOLD_MS = 100;
const SAMPLE_MS = 100;
const RESULTS: readonly RequestResult[] = [
  'done',
  'accepted',
  'refused',
  'unknown',
  'failed',
  'pending',
];

/** Joins requests with their runs by the request id in the task id. */
export function traceRequests(
  sent: readonly SentRequest[],
  records: readonly WorkerRecord[],
): readonly TracedRequest[] {
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

/** `Math.max(...values)` would exceed the limit on the number of arguments. */
function maxOf(values: readonly number[]): number {
  return values.reduce((max, value) => Math.max(max, value), -Infinity);
}

export function summarizeClasses(traced: readonly TracedRequest[]): readonly ClassSummary[] {
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

/** Interactive callers wait for the answer; for accepted jobs, the end is taken from the workers' records. */
function responseOf({ sent, endedAt }: TracedRequest): number | undefined {
  if (sent.result === 'done') return sent.answeredAt - sent.submittedAt;
  return sent.result === 'accepted' && endedAt !== undefined
    ? endedAt - sent.submittedAt
    : undefined;
}

function countBy(
  names: readonly RequestResult[],
  values: readonly RequestResult[],
): Record<RequestResult, number> {
  const counts = Object.fromEntries(names.map((name) => [name, 0])) as Record<
    RequestResult,
    number
  >;
  for (const value of values) counts[value] += 1;
  return counts;
}

function countReasons(rows: readonly TracedRequest[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { sent } of rows) {
    if (sent.reason === '' || sent.result === 'accepted') continue;
    const name = `${sent.result}: ${sent.reason}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

/** Negative values count as 0: with millisecond clocks, a start may appear one unit before its submission. */
export function percentile(values: readonly number[], rank: number): number {
  if (values.length === 0) return Number.NaN;
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of values) histogram.recordValue(Math.max(0, value));
  return histogram.getValueAtPercentile(rank);
}

export interface PackingOptions {
  readonly traced: readonly TracedRequest[];
  readonly records: readonly WorkerRecord[];
  readonly workers: readonly StartedWorker[];
  readonly teams: CatalogueFile['teams'];
  readonly teamOf: (entry: string) => string;
  readonly from: number;
  readonly until: number;
}

interface Usage {
  slots: number;
  processors: number;
  memoryMb: number;
}

export function measurePacking(options: PackingOptions): PackingSummary {
  const { records, workers, from, until } = options;
  const capacity = sumUsage(
    workers.map(({ slots, capacity: { processors, memoryMb } }) => {
      return { slots, processors, memoryMb };
    }),
  );
  const runs = records.flatMap((record) => record.runs);
  const runsInPhase = runs.filter(({ start, end = Infinity }) => start < until && end > from);
  const totals = { samples: 0, slots: 0, processors: 0, memoryMb: 0, distance: 0 };
  const deficits: Record<string, number> = {};
  for (let at = from; at < until; at += SAMPLE_MS) {
    const waiting = findWaitingTeams(options, at);
    if (waiting.size === 0) continue;
    const running = runsInPhase.filter(({ start, end = Infinity }) => start <= at && end > at);
    const use = sumUsage(running.map(usageOf));
    totals.samples += 1;
    totals.slots += use.slots / capacity.slots;
    totals.processors += use.processors / capacity.processors;
    totals.memoryMb += use.memoryMb / capacity.memoryMb;
    for (const [team, part] of computeShareDeficits(options, { waiting, running, capacity })) {
      totals.distance += part;
      deficits[team] = (deficits[team] ?? 0) + part;
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
      Object.entries(deficits).map(([team, total]) => [team, mean(total)]),
    ),
  };
}

function usageOf({ size }: Run): Usage {
  return { slots: 1, processors: size.processors, memoryMb: size.memoryMb };
}

function sumUsage(uses: readonly Usage[]): Usage {
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
    if (submittedAt + WAITING_THRESHOLD_MS > at || (startedAt ?? Infinity) <= at) continue;
    if (result !== 'accepted' && answeredAt > 0 && answeredAt <= at) continue;
    teams.add(teamOf(stream.entry));
  }
  return teams;
}

interface PackingSample {
  readonly waiting: ReadonlySet<string>;
  readonly running: readonly Run[];
  readonly capacity: Usage;
}

/**
 * Computes the share deficit of each waiting team: its weight among the teams with work, minus its fraction of the
 * dominant shares in use. A team at its upper limit has no deficit.
 */
function computeShareDeficits(
  { teams }: PackingOptions,
  { waiting, running, capacity }: PackingSample,
) {
  const byTeam = new Map<string, Run[]>();
  for (const run of running) byTeam.set(run.team, [...(byTeam.get(run.team) ?? []), run]);
  const active = [...new Set([...waiting, ...byTeam.keys()])];
  const dominantOf = (team: string) => {
    const use = sumUsage((byTeam.get(team) ?? []).map(usageOf));
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
 * Returns the time from the end of the overload to the first second in which every lookup starts and their p99 wait
 * is within the bound; undefined if there is none.
 */
export function findRecovery(
  traced: readonly TracedRequest[],
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
