/**
 * Reads the resource usage of the daemons of a cell: processor time and memory from /proc, link bytes and store
 * calls from the metrics that the daemons send.
 */
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { readFile } from 'node:fs/promises';
import type { Cell } from '../../stand-ins/cell.js';

/** Unit of the times in /proc/<pid>/stat; fixed for user space on Linux. */
const TICK_MS = 10;
const PAGE_BYTES = 4096;
const MEGABYTE = 1024 * 1024;
/** Field positions in /proc/<pid>/stat, counted after the command name, which may contain spaces. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
const RESIDENT_FIELD = 21;
const GAUGE = /^sapphirewing\.(?<name>[\w.]+):(?<value>[\d.e+]+)\|g\|#host:(?<host>\S+)$/;

/** Processor time of a process since its start, and its current resident memory. */
export interface ProcessCost {
  readonly cpuMs: number;
  readonly residentMb: number;
}

/** Process usage of a daemon, and its link bytes and store calls since its start. */
export interface HostCost extends ProcessCost {
  readonly linkBytes: number;
  readonly storeCalls: number;
}

export interface CellCost {
  readonly at: number;
  readonly hosts: ReadonlyMap<string, HostCost>;
  readonly workers: ProcessCost;
  readonly keyValue: ProcessCost;
  readonly bench: ProcessCost;
}

/** Mean usage of an entry host over an interval; `residentMb` is the largest value of any host at its end. */
export interface HostRates {
  readonly processorShare: number;
  readonly largestProcessorShare: number;
  readonly residentMb: number;
  readonly linkBytesPerSecond: number;
  readonly storeCallsPerSecond: number;
}

/** Receives the gauges of the daemons. */
export interface Collector {
  readonly settings: { readonly address: string; readonly port: number };
  /** Latest value of a gauge; 0 before the first one. */
  value(host: string, name: string): number;
  close(): void;
}

export async function startCollector(): Promise<Collector> {
  const values = new Map<string, number>();
  const socket = createSocket('udp4');
  socket.on('message', (data) => {
    for (const line of data.toString().split('\n')) {
      const { name, value, host } = GAUGE.exec(line)?.groups ?? {};
      if (name !== undefined) values.set(`${host ?? ''} ${name}`, Number(value));
    }
  });
  socket.bind(0, '127.0.0.1');
  await once(socket, 'listening');
  return {
    settings: { address: '127.0.0.1', port: socket.address().port },
    value: (host, name) => values.get(`${host} ${name}`) ?? 0,
    close: () => {
      socket.close();
    },
  };
}

export async function readProcess(pid: number): Promise<ProcessCost> {
  const text = await readFile(`/proc/${String(pid)}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const count = (field: number) => Number(fields[field]);
  return {
    cpuMs: (count(USER_TIME_FIELD) + count(SYSTEM_TIME_FIELD)) * TICK_MS,
    residentMb: (count(RESIDENT_FIELD) * PAGE_BYTES) / MEGABYTE,
  };
}

export async function readCell(cell: Cell, collector: Collector): Promise<CellCost> {
  const hosts = await Promise.all(
    cell.hosts.map(async ({ id, pid }) => {
      const cost: HostCost = {
        ...(await readProcess(pid)),
        linkBytes:
          collector.value(id, 'links.sent_bytes') + collector.value(id, 'links.received_bytes'),
        storeCalls: collector.value(id, 'store.calls'),
      };
      return [id, cost] as const;
    }),
  );
  const [workers, keyValue, bench] = await Promise.all([
    readProcess(cell.workers.pid),
    readProcess(cell.keyValue.pid),
    readProcess(process.pid),
  ]);
  return { at: Date.now(), hosts: new Map(hosts), workers, keyValue, bench };
}

/** Gauges arrive once a second, so intervals of a few seconds have an error of a few percent. */
export function computeRates(before: CellCost, after: CellCost): HostRates {
  const ms = after.at - before.at;
  const rows = [...after.hosts].map(([id, end]) => {
    const start = before.hosts.get(id) ?? end;
    return {
      processorShare: (end.cpuMs - start.cpuMs) / ms,
      residentMb: end.residentMb,
      linkBytes: end.linkBytes - start.linkBytes,
      storeCalls: end.storeCalls - start.storeCalls,
    };
  });
  const meanOf = (pick: (row: (typeof rows)[number]) => number) =>
    rows.reduce((sum, row) => sum + pick(row), 0) / rows.length;
  return {
    processorShare: meanOf((row) => row.processorShare),
    largestProcessorShare: Math.max(...rows.map((row) => row.processorShare)),
    residentMb: Math.max(...rows.map((row) => row.residentMb)),
    linkBytesPerSecond: (meanOf((row) => row.linkBytes) / ms) * 1000,
    storeCallsPerSecond: (meanOf((row) => row.storeCalls) / ms) * 1000,
  };
}

/** Stops the cell when the benchmark is interrupted, because the daemons would outlive it. */
export function stopOnSignal(cell: Cell): void {
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => {
      void cell.stop().finally(() => process.exit(1));
    });
  }
}

/** Formats rows under a header; all columns but the first are right-aligned. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const [header = []] = rows;
  const widths = header.map((_, column) =>
    Math.max(...rows.map((row) => (row[column] ?? '').length)),
  );
  const format = (row: readonly string[]) =>
    row
      .map((text, column) =>
        column === 0 ? text.padEnd(widths[column] ?? 0) : text.padStart(widths[column] ?? 0),
      )
      .join('  ');
  return rows.map(format).join('\n');
}
