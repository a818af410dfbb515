/**
 * State of the requests that this host coordinates or has answered recently. The number of open requests
 * is bounded by the queues and the workers; ended ones are removed after a time, and the oldest of them
 * earlier if there are too many or their answers take too much memory.
 */
import type { Outcome, RequestStatus, WorkRequest } from '../model/index.js';

export interface RequestTable {
  /** Adds a request as queued; a request that is already present is not changed. */
  add(request: WorkRequest): void;
  setState(team: string, id: string, state: 'queued' | 'running'): void;
  /** Ends a request; later outcomes are ignored. */
  end(team: string, id: string, outcome: Outcome): void;
  get(team: string, id: string): RequestStatus | undefined;
  /** Resolves when the request ends, or after `waitMs` with its present status. */
  wait(team: string, id: string, waitMs: number): Promise<RequestStatus | undefined>;
}

export interface RequestTableOptions {
  readonly now: () => number;
  /** How long an ended request is kept. */
  readonly keepMs?: number;
  /** Maximum number of ended requests that are kept. */
  readonly maxEnded?: number;
  /** Maximum bytes of answers that are kept. */
  readonly maxEndedBytes?: number;
}

const DEFAULT_KEEP_MS = 600_000;
const DEFAULT_MAX_ENDED = 20_000;
/** Without this limit, 20,000 answers of 10 KB would exceed the memory of an entry host. */
const DEFAULT_MAX_ENDED_BYTES = 16 * 1024 * 1024;

interface Row {
  status: RequestStatus;
  readonly waiting: Set<() => void>;
}

export function createRequestTable(options: RequestTableOptions): RequestTable {
  const { now, keepMs = DEFAULT_KEEP_MS, maxEnded = DEFAULT_MAX_ENDED } = options;
  const { maxEndedBytes = DEFAULT_MAX_ENDED_BYTES } = options;
  const rows = new Map<string, Row>();
  /** Time of the end by key, oldest first. */
  const ended = new Map<string, number>();
  let endedBytes = 0;

  function forgetOld(): void {
    for (const [key, endedAt] of ended) {
      const fits = ended.size <= maxEnded && endedBytes <= maxEndedBytes;
      if (fits && now() - endedAt < keepMs) return;
      ended.delete(key);
      endedBytes -= bytesOf(rows.get(key)?.status.outcome);
      rows.delete(key);
    }
  }

  function get(team: string, id: string): RequestStatus | undefined {
    forgetOld();
    return rows.get(keyOf(team, id))?.status;
  }

  return {
    get,
    add: ({ team, id, entry }) => {
      const key = keyOf(team, id);
      if (get(team, id) !== undefined) return;
      rows.set(key, { status: { id, team, entry, state: 'queued' }, waiting: new Set() });
    },
    setState: (team, id, state) => {
      const row = rows.get(keyOf(team, id));
      if (row === undefined || row.status.state === 'ended') return;
      row.status = { ...row.status, state };
    },
    end: (team, id, outcome) => {
      const key = keyOf(team, id);
      const row = rows.get(key);
      if (row === undefined || row.status.state === 'ended') return;
      row.status = { ...row.status, state: 'ended', outcome };
      ended.set(key, now());
      endedBytes += bytesOf(outcome);
      for (const wake of row.waiting) wake();
      row.waiting.clear();
      forgetOld();
    },
    wait: async (team, id, waitMs) => {
      forgetOld();
      const row = rows.get(keyOf(team, id));
      if (row !== undefined && row.status.state !== 'ended') await waitForEnd(row, waitMs);
      return row?.status;
    },
  };
}

function bytesOf(outcome: Outcome | undefined): number {
  return outcome?.kind === 'done' ? outcome.body.byteLength : 0;
}

async function waitForEnd(row: Row, waitMs: number): Promise<void> {
  await new Promise<void>((resolve) => {
    const wake = () => {
      clearTimeout(timer);
      row.waiting.delete(wake);
      resolve();
    };
    const timer = setTimeout(wake, waitMs);
    row.waiting.add(wake);
  });
}

function keyOf(team: string, id: string): string {
  return `${id}/${team}`;
}
