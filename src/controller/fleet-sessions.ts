/**
 * Sessions with all workers that the fleet lists, and with lives that are no longer listed but may still
 * have something at work.
 */
import type { FleetWorker } from '../fleet/index.js';
import type { WorkerIncarnation } from '../jobs/index.js';
import { NO_RESOURCES } from '../model/index.js';
import type { EventLog } from '../observability/index.js';
import type { WorkerSession } from './worker-session-types.js';

/** Entries that expired while the store was away return within 2 s; a worker without one has left then. */
const UNLISTED_GRACE_MS = 2500;

export interface FleetSessions {
  /** Sessions with workers that may get work now. */
  usable(): WorkerSession[];
  all(): Iterable<WorkerSession>;
  /** The complete list of the fleet. */
  replace(workers: ReadonlyMap<string, FleetWorker>): void;
  /** A worker's entry has changed; undefined if it was removed or cannot be read. */
  update(id: string, worker: FleetWorker | undefined): void;
  /** The session of a life, created without a connection if the life is not listed. */
  sessionOf(life: WorkerIncarnation): WorkerSession;
  /** Ends the sessions of lives after which their worker has started again. */
  endFormerIncarnations(): void;
  close(): void;
}

export interface FleetSessionsOptions {
  readonly open: (worker: FleetWorker) => WorkerSession;
  readonly events: EventLog;
  readonly onChange: () => void;
  readonly onLeaving: (session: WorkerSession) => void;
}

export function createFleetSessions(options: FleetSessionsOptions): FleetSessions {
  const { events } = options;
  const sessions = new Map<string, WorkerSession>();
  const unlistedSince = new Map<string, number>();

  const keyOf = ({ id, born }: WorkerIncarnation) => `${id}@${String(born)}`;

  function endOtherLives(life: WorkerIncarnation) {
    for (const [key, session] of sessions) {
      if (session.incarnation.id !== life.id || session.incarnation.born >= life.born) continue;
      session.end('a later life is listed under its id');
      sessions.delete(key);
      unlistedSince.delete(key);
    }
  }

  function update(id: string, worker: FleetWorker | undefined) {
    if (worker === undefined) {
      for (const [key, session] of sessions) {
        if (session.incarnation.id !== id || unlistedSince.has(key)) continue;
        unlistedSince.set(key, performance.now());
        events.info('worker-unlisted', { worker: id, runs: session.runs.size });
      }
      options.onChange();
      return;
    }
    endOtherLives(worker.incarnation);
    const key = keyOf(worker.incarnation);
    unlistedSince.delete(key);
    const session = sessions.get(key);
    if (session === undefined || session.ended) {
      if (session?.ended === true) return;
      sessions.set(key, options.open(worker));
      events.info('worker-listed', {
        worker: id,
        born: worker.incarnation.born,
        address: worker.address,
        service: worker.service,
        state: worker.state,
      });
    } else {
      const former = session.worker;
      session.update(worker);
      if (former.state !== 'leaving' && worker.state === 'leaving') {
        events.info('worker-leaving', {
          worker: id,
          leavesInMs: worker.leavesInMs,
          runs: session.runs.size,
        });
        options.onLeaving(session);
      }
    }
    options.onChange();
  }

  /** Drops sessions of lives that have left and have nothing at work. */
  function sweep() {
    const now = performance.now();
    for (const [key, since] of unlistedSince) {
      const session = sessions.get(key);
      if (session !== undefined && session.runs.size > 0) continue;
      if (now - since < UNLISTED_GRACE_MS * 2) continue;
      session?.close();
      sessions.delete(key);
      unlistedSince.delete(key);
    }
  }
  const sweeper = setInterval(sweep, 1000);
  sweeper.unref();

  function isUsable(key: string, session: WorkerSession): boolean {
    if (!session.reachable || session.worker.state !== 'ready') return false;
    const since = unlistedSince.get(key);
    return since === undefined || performance.now() - since < UNLISTED_GRACE_MS;
  }

  return {
    usable: () =>
      [...sessions]
        .filter(([key, session]) => isUsable(key, session))
        .map(([, session]) => session),
    all: () => sessions.values(),
    replace: (workers) => {
      const listed = new Set([...workers.values()].map(({ incarnation }) => keyOf(incarnation)));
      for (const [key, session] of sessions) {
        if (!listed.has(key)) update(session.incarnation.id, undefined);
      }
      for (const [id, worker] of workers) update(id, worker);
    },
    update,
    sessionOf: (life) => {
      const key = keyOf(life);
      let session = sessions.get(key);
      if (session === undefined) {
        session = options.open(describeUnlisted(life));
        sessions.set(key, session);
        unlistedSince.set(key, performance.now() - UNLISTED_GRACE_MS);
        events.warn('worker-not-listed', { worker: life.id, born: life.born });
      }
      return session;
    },
    endFormerIncarnations: () => {
      for (const { incarnation } of [...sessions.values()]) endOtherLives(incarnation);
    },
    close: () => {
      clearInterval(sweeper);
      for (const session of sessions.values()) session.close();
    },
  };
}

/** A life whose entry is gone: it cannot be reached and gets no work. */
function describeUnlisted(incarnation: WorkerIncarnation): FleetWorker {
  return {
    incarnation,
    address: '',
    service: '',
    dataCentre: '',
    state: 'leaving',
    room: NO_RESOURCES,
    labels: [],
    rack: '',
    leavesInMs: undefined,
  };
}
