/**
 * Column definitions of the operators' tables.
 */
import type { EvacuationState } from '../evacuations/index.js';
import type { Resources } from '../model/index.js';
import type { HostRow, QueueRow, TeamRow, WorkerRow } from '../operators/index.js';
import type { Column } from './table.js';

const MS_PER_SECOND = 1000;
const MB_PER_GB = 1024;
const PERCENT = 100;

export const QUEUE_COLUMNS: readonly Column<QueueRow>[] = [
  { title: 'host', value: (row) => row.host },
  { title: 'data centre', value: (row) => row.dataCentre },
  { title: 'team', value: (row) => row.team },
  { title: 'entry', value: (row) => row.entry },
  { title: 'class', value: (row) => row.class },
  { title: 'queued', value: (row) => String(row.queued), align: 'right' },
  { title: 'oldest', value: (row) => formatMs(row.oldestWaitMs), align: 'right' },
];

export const WORKER_COLUMNS: readonly Column<WorkerRow>[] = [
  { title: 'worker', value: (row) => row.worker },
  { title: 'data centre', value: (row) => row.dataCentre },
  { title: 'rack', value: (row) => row.rack },
  {
    title: 'state',
    value: (row) => row.state,
    tone: (row) => (row.state === 'unreachable' ? 'bad' : toneOf(row.state === 'live')),
  },
  {
    title: 'health',
    value: (row) => row.health,
    tone: (row) => (row.health === 'out' ? 'bad' : toneOf(row.health === 'healthy')),
  },
  { title: 'holder', value: (row) => row.holder ?? '-' },
  { title: 'epoch', value: (row) => String(row.epoch), align: 'right' },
  {
    title: 'slots',
    value: (row) => `${String(row.running)}/${String(row.slots)}`,
    align: 'right',
  },
  { title: 'free', value: (row) => formatResources(row.free), align: 'right' },
  { title: 'capacity', value: (row) => formatResources(row.capacity), align: 'right' },
];

export const TEAM_COLUMNS: readonly Column<TeamRow>[] = [
  { title: 'team', value: (row) => row.team },
  { title: 'share', value: (row) => String(row.share), align: 'right' },
  { title: 'fair', value: (row) => formatPercent(row.fairShare), align: 'right' },
  { title: 'used', value: (row) => formatPercent(row.usedShare), align: 'right' },
  {
    title: 'running',
    value: (row) => String(row.running),
    align: 'right',
    tone: (row) => (row.running >= row.limit ? 'warning' : undefined),
  },
  { title: 'limit', value: (row) => String(row.limit), align: 'right' },
  { title: 'queued', value: (row) => String(row.queued), align: 'right' },
];

export const HOST_COLUMNS: readonly Column<HostRow>[] = [
  { title: 'host', value: (row) => row.host },
  { title: 'data centre', value: (row) => row.dataCentre },
  { title: 'url', value: (row) => row.url },
  {
    title: 'state',
    value: (row) => row.state,
    tone: (row) => (row.state === 'suspected' ? 'bad' : toneOf(row.state === 'live')),
  },
  { title: 'revision', value: (row) => String(row.revision), align: 'right' },
  {
    title: 'keys',
    value: (row) => (row.keysCurrent ? 'current' : 'stale'),
    tone: (row) => toneOf(row.keysCurrent),
  },
  {
    title: 'store',
    value: (row) => (row.storeReachable ? 'reached' : formatMs(row.storeContactAgeMs)),
    tone: (row) => toneOf(row.storeReachable),
  },
  { title: 'workers', value: (row) => String(row.workers), align: 'right' },
  { title: 'queued', value: (row) => String(row.queued), align: 'right' },
  { title: 'wait', value: (row) => formatMs(row.waitMs), align: 'right' },
];

export const EVACUATION_COLUMNS: readonly Column<EvacuationState>[] = [
  { title: 'data centre', value: (row) => row.dataCentre },
  { title: 'since', value: (row) => row.since },
  { title: 'in force', value: (row) => formatMs(row.inForceMs), align: 'right' },
  { title: 'workers', value: (row) => String(row.workers), align: 'right' },
  {
    title: 'runs left',
    value: (row) => String(row.runs),
    align: 'right',
    tone: (row) => toneOf(row.runs === 0),
  },
];

function toneOf(good: boolean): 'good' | 'warning' {
  return good ? 'good' : 'warning';
}

function formatMs(ms: number): string {
  return ms < MS_PER_SECOND ? `${String(Math.round(ms))}ms` : `${(ms / MS_PER_SECOND).toFixed(1)}s`;
}

function formatPercent(fraction: number): string {
  return `${(fraction * PERCENT).toFixed(1)}%`;
}

function formatResources({ processors, memoryMb, accelerators }: Resources): string {
  const memory = `${(memoryMb / MB_PER_GB).toFixed(1)}G`;
  const parts = [`${String(Math.round(processors * 10) / 10)}c`, memory];
  return (accelerators > 0 ? [...parts, `${String(accelerators)}a`] : parts).join(' ');
}
