/**
 * Sessions with all listed workers, and with incarnations of workers that are no longer listed but may still execute
 * runs.
 */
import type { FleetWorker } from '../fleet/index.js';
import type { WorkerIncarnation } from '../jobs/index.js';
import { NO_RESOURCES } from '../model/index.js';
import type { EventLog } from '../observability/index.js';
import type { WorkerSession } from './worker-session-types.js';

/** Entries that expired during an outage of the store return within 2 s; after that, a worker without one has left. */
const UNLISTED_GRACE_MS = 2500;

export interface FleetSessions {
  /** Sessions with workers that can be given work now. */
  usable(): WorkerSession[];
  all(): Iterable<WorkerSession>;
  /** Applies a complete listing of the fleet. */
  replace(workers: ReadonlyMap<string, FleetWorker>): void;
  /** Applies a changed entry of a worker; undefined if it was removed or cannot be decoded. */
  update(id: string, worker: FleetWorker | undefined): void;
  /** The session of an incarnation, created without a connection if the incarnation is not listed. */
  sessionOf(incarnation: WorkerIncarnation): WorkerSession;
  /** Ends the sessions of incarnations that a later one of the same worker has replaced. */
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
  /** Keys of the sessions with incarnations of a worker, by its id; one, except after a restart. */
  const keysById = new Map<string, Set<string>>();
  const unlistedSince = new Map<string, number>();

  const keyOf = ({ id, born }: WorkerIncarnation) => `${id}@${String(born)}`;

  function addSession(key: string, worker: FleetWorker): WorkerSession {
    const session = options.open(worker);
    sessions.set(key, session);
    const { id } = worker.incarnation;
    const keys = keysById.get(id);
    if (keys === undefined) keysById.set(id, new Set([key]));
    else keys.add(key);
    return session;
  }

  function removeSession(key: string) {
    const id = sessions.get(key)?.incarnation.id;
    sessions.delete(key);
    unlistedSince.delete(key);
    if (id === undefined) return;
    const keys = keysById.get(id);
    keys?.delete(key);
    if (keys?.size === 0) keysById.delete(id);
  }

  function endOlderIncarnations({ id, born }: WorkerIncarnation) {
    for (const key of [...(keysById.get(id) ?? [])]) {
      const session = sessions.get(key);
      if (session === undefined || session.incarnation.born >= born) continue;
      session.end('a later incarnation is listed under its id');
      removeSession(key);
    }
  }

  function update(id: string, worker: FleetWorker | undefined) {
    if (worker === undefined) {
      for (const key of keysById.get(id) ?? []) {
        if (unlistedSince.has(key)) continue;
        unlistedSince.set(key, performance.now());
        events.info('worker-unlisted', { worker: id, runs: sessions.get(key)?.runs.size });
      }
      options.onChange();
      return;
    }
    endOlderIncarnations(worker.incarnation);
    const key = keyOf(worker.incarnation);
    unlistedSince.delete(key);
    const session = sessions.get(key);
    if (session === undefined || session.ended) {
      if (session?.ended === true) return;
      addSession(key, worker);
      events.info('worker-listed', {
        worker: id,
        born: worker.incarnation.born,
        address: worker.address,
        service: worker.service,
        state: worker.state,
      });
    } else {
      const previous = session.worker;
      session.update(worker);
      if (previous.state !== 'leaving' && worker.state === 'leaving') {
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

  /**
   * Removes sessions of incarnations that have left and have neither runs nor ends that are not durable. Another session
   * with the same incarnation would not know these ends and acknowledge them.
   */
  function sweep() {
    const now = performance.now();
    for (const [key, since] of unlistedSince) {
      const session = sessions.get(key);
      if (session !== undefined && (session.runs.size > 0 || session.hasUnacknowledged)) continue;
      if (now - since < UNLISTED_GRACE_MS * 2) continue;
      session?.close();
      removeSession(key);
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
    sessionOf: (incarnation) => {
      const key = keyOf(incarnation);
      let session = sessions.get(key);
      if (session === undefined) {
        session = addSession(key, describeUnlisted(incarnation));
        unlistedSince.set(key, performance.now() - UNLISTED_GRACE_MS);
        events.warn('worker-not-listed', { worker: incarnation.id, born: incarnation.born });
      }
      return session;
    },
    endFormerIncarnations: () => {
      for (const { incarnation } of [...sessions.values()]) endOlderIncarnations(incarnation);
    },
    close: () => {
      clearInterval(sweeper);
      for (const session of sessions.values()) session.close();
    },
  };
}

/** Describes an incarnation whose entry is gone; it cannot be reached and is given no work. */
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
