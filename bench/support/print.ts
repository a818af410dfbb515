/**
 * Prints the results of a phase as text.
 */
import type { ClassSummary, PackingSummary } from './analysis.js';
import { formatTable, type HostRates } from './probe.js';

/** Results of one phase; also written to the JSON file. */
export interface PhaseReport {
  readonly name: string;
  readonly load: number;
  readonly seconds: number;
  readonly classes: readonly ClassSummary[];
  readonly packing: PackingSummary;
  readonly placementsPerSecond: number;
  /** Requests whose tasks all answered in this phase, whenever they were sent. */
  readonly goodputPerSecond: number;
  /** Total processor time of all daemons. */
  readonly cpuMsPerPlacement: number;
  readonly cpuMsByHost: Readonly<Record<string, number>>;
  readonly rates: HostRates;
  /** Processor shares of the worker stand-in and of the benchmark itself, which can limit the results. */
  readonly workerShare: number;
  readonly benchShare: number;
  readonly violations: Readonly<Record<string, number>>;
  /** -1 if lookups did not recover within the phase. */
  readonly recoveryMs?: number;
}

const HEADER = [
  'class',
  'sent',
  'completed',
  'refused',
  'unknown',
  'failed',
  'pending',
  'wait p50',
  'wait p99',
  'resp p50',
  'resp p99',
];

export function printPhase(report: PhaseReport, print: (line: string) => void): void {
  const { packing, rates } = report;
  print(`\n${report.name} (${report.seconds.toFixed(1)} s; times in ms)`);
  print(formatTable([HEADER, ...report.classes.map(describeClass)]));
  for (const { kind, reasons } of report.classes) {
    const parts = Object.entries(reasons).map(([reason, count]) => `${reason} ${String(count)}`);
    if (parts.length > 0) print(`  ${kind}: ${parts.join(', ')}`);
  }
  print(
    `packing while work waits: slots ${percent(packing.slots)}, processors ${percent(packing.processors)}, memory ${percent(packing.memory)} (${String(packing.samples)} samples); distance to share ${percent(packing.shareDistance)}`,
  );
  print(
    `placements ${report.placementsPerSecond.toFixed(0)}/s, goodput ${report.goodputPerSecond.toFixed(0)} requests/s, ${report.cpuMsPerPlacement.toFixed(2)} ms of daemon processor time each`,
  );
  print(
    `per host: ${percent(rates.processorShare)} of a core (max ${percent(rates.largestProcessorShare)}), ${rates.residentMb.toFixed(0)} MB max, ${(rates.linkBytesPerSecond / 1000).toFixed(1)} KB/s on links, ${rates.storeCallsPerSecond.toFixed(1)} store calls/s; worker stand-in ${percent(report.workerShare)}, bench ${percent(report.benchShare)}`,
  );
  if (report.recoveryMs !== undefined) {
    print(
      report.recoveryMs < 0
        ? 'lookups did not recover within the phase'
        : `lookups recovered after ${String(report.recoveryMs)} ms`,
    );
  }
  if (Object.keys(report.violations).length > 0) {
    print(`violations at workers in the whole run: ${JSON.stringify(report.violations)}`);
  }
}

function describeClass(row: ClassSummary): readonly string[] {
  const { refused, unknown, failed, pending } = row.results;
  const counts = [row.sent, row.completed, refused, unknown, failed, pending].map(String);
  const times = [row.waitP50Ms, row.waitP99Ms, row.responseP50Ms, row.responseP99Ms];
  return [row.kind, ...counts, ...times.map((ms) => ms.toFixed(0))];
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)} %`;
}
