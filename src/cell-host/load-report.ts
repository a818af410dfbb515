/**
 * Reports once a second what the leader does with its processor time. The leader is the first host to reach its limit
 * as a cell grows, and the report shows whether planning or calls take it there.
 */
import type { CellLoad } from '../controller/index.js';
import type { LoadSample } from '../leadership/index.js';
import type { EventLog } from '../observability/index.js';

const REPORT_INTERVAL_MS = 1000;
const NOTHING = { rounds: 0, tookMs: 0, starts: 0 };

export interface LoadReport {
  /** Adds a sample of the process and, when a report is due, logs it with the load of the cell. */
  add(sample: LoadSample, nowMs: number, describeCell: () => CellLoad): void;
}

export function createLoadReport({ events }: { readonly events: EventLog }): LoadReport {
  let reportedAt = -Infinity;
  let samples: LoadSample[] = [];
  let reported: Pick<CellLoad, 'rounds' | 'tookMs' | 'starts'> = NOTHING;

  const sum = (field: keyof LoadSample) =>
    Math.round(samples.reduce((total, sample) => total + sample[field], 0));

  return {
    add: (sample, nowMs, describeCell) => {
      samples.push(sample);
      if (nowMs - reportedAt < REPORT_INTERVAL_MS) return;
      const { rounds, tookMs, starts, ...load } = describeCell();
      // The counts of a new term begin at zero again.
      const since = rounds < reported.rounds ? NOTHING : reported;
      events.info('leader-load', {
        ...load,
        activeMs: sum('activeMs'),
        processorMs: sum('processorMs'),
        longestDelayMs: Math.round(Math.max(...samples.map(({ delayMs }) => delayMs))),
        rounds: rounds - since.rounds,
        planMs: Math.round(tookMs - since.tookMs),
        starts: starts - since.starts,
      });
      reportedAt = nowMs;
      samples = [];
      reported = { rounds, tookMs, starts };
    },
  };
}

/** Returns a function that measures the load of this process since its last call. */
export function createLoadMeter(): () => Omit<LoadSample, 'delayMs'> {
  let utilization = performance.eventLoopUtilization();
  let usage = process.cpuUsage();
  return () => {
    const nextUtilization = performance.eventLoopUtilization();
    const nextUsage = process.cpuUsage();
    const activeMs = nextUtilization.active - utilization.active;
    const processorUs = nextUsage.user + nextUsage.system - usage.user - usage.system;
    utilization = nextUtilization;
    usage = nextUsage;
    return { activeMs, processorMs: processorUs / 1000 };
  };
}
