/**
 * Sessions with all listed workers, and with incarnations of workers that are no longer listed but may still execute
 * runs.
 */
import type { FleetWorker } from '../fleet/index.js';
import type { WorkerIncarnation } from '../jobs/index.js';
import { NO_RESOURCES } from '../model/index.js';
import type { EventLog, FaultContainment } from '../observability/index.js';
import type { WorkerSession } from './worker-session-types.js';

/** Entries that expired during an outage of the store return within 2 s; after that, a worker without one has left. */
const UNLISTED_GRACE_MS = 2500;

export interface FleetSessions {
  /** Sessions with workers that can be given work now. */
  usable(): WorkerSession[];
  /** Whether the worker's entry allows to start tasks on it and its data centre is not evacuated. */
  acceptsWork(session: WorkerSession): boolean;
  all(): Iterable<WorkerSession>;
  /** Applies a complete listing of the fleet, with the ids of entries that cannot be decoded. */
  replace(workers: ReadonlyMap<string, FleetWorker>, unreadable: ReadonlySet<string>): void;
  /** Applies a changed entry of a worker; undefined if it was removed. */
  update(id: string, worker: FleetWorker | undefined): void;
  /** Applies an entry that cannot be decoded. It names no worker to use until it is written again. */
  markUnreadable(id: string): void;
  /** The session of an incarnation, created without a connection if the incarnation is not listed. */
  sessionOf(incarnation: WorkerIncarnation): WorkerSession;
  /** The session of an incarnation, if there is one. */
  find(incarnation: WorkerIncarnation): WorkerSession | undefined;
  /** The session with an incarnation that has answered in place of the given one, at its address. */
  openSuccessor(former: WorkerSession, born: number): WorkerSession;
  /** Ends the sessions of incarnations that a later one of the same worker has replaced. */
  endFormerIncarnations(): void;
  close(): void;
}

export interface FleetSessionsOptions {
  readonly open: (worker: FleetWorker) => WorkerSession;
  readonly events: EventLog;
  readonly onChange: () => void;
  /** Called with each entry of a worker that is leaving. */
  readonly onLeaving: (session: WorkerSession) => void;
  /**
   * Monotonic time until which a worker may be given work whose entry is found to be gone now. It may have reported that
   * it leaves, and lost its entry, since its entry was last read. By default, as long as an entry may be away.
   */
  readonly latestOrderAt?: () => number;
  /** Whether the workers of a data centre get no new work. By default, all get work. */
  readonly isEvacuated?: (dataCentre: string) => boolean;
  /** Keeps an error that one worker of a listing causes away from the others. */
  readonly contain?: FaultContainment['contain'];
}

/** The time for which an incarnation has no entry. */
interface Absence {
  /** Monotonic milliseconds, like `usableUntil`. */
  readonly since: number;
  /** Until then, the incarnation may be given work all the same. */
  readonly usableUntil: number;
}

export function createFleetSessions(options: FleetSessionsOptions): FleetSessions {
  const { events, contain = callDirectly, latestOrderAt = () => Infinity } = options;
  const { isEvacuated = () => false } = options;
  const sessions = new Map<string, WorkerSession>();
  /** Keys of the sessions with incarnations of a worker, by its id; one, except after a restart. */
  const keysById = new Map<string, Set<string>>();
  const unlisted = new Map<string, Absence>();

  const keyOf = ({ id, born }: WorkerIncarnation) => `${id}@${String(born)}`;

  function addSession(key: string, worker: FleetWorker): WorkerSession {
    const session = options.open(worker);
    session.setConfirmation((requestedAt) => endOtherIncarnations(session, requestedAt));
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
    unlisted.delete(key);
    if (id === undefined) return;
    const keys = keysById.get(id);
    keys?.delete(key);
    if (keys?.size === 0) keysById.delete(id);
  }

  function endOlderIncarnations(successor: WorkerSession) {
    const { id, born } = successor.incarnation;
    for (const key of [...(keysById.get(id) ?? [])]) {
      const session = sessions.get(key);
      if (session === undefined || session.incarnation.born >= born) continue;
      // With clocks that jump, the later incarnation can have the earlier time. Only its report tells.
      if (!unlisted.has(key) && unlisted.has(keyOf(successor.incarnation))) continue;
      session.end('a later incarnation is listed under its id', successor);
      removeSession(key);
    }
  }

  /**
   * An incarnation that answers a renewal is later than those that have answered before the renewal was sent, whatever
   * their times are, and than those that never have. Returns false if it is not known to be the present one, because
   * another has answered since.
   */
  function endOtherIncarnations(present: WorkerSession, requestedAt: number): boolean {
    const others = [...(keysById.get(present.incarnation.id) ?? [])].flatMap((key) => {
      const session = sessions.get(key);
      return session === undefined || session === present ? [] : [{ key, session }];
    });
    if (others.some(({ session }) => session.answeredAt >= requestedAt)) return false;
    for (const { key, session } of others) {
      session.end('another incarnation reports under its id', present);
      removeSession(key);
    }
    return true;
  }

  function markUnlisted(key: string) {
    if (unlisted.has(key)) return;
    const since = performance.now();
    unlisted.set(key, { since, usableUntil: Math.min(since + UNLISTED_GRACE_MS, latestOrderAt()) });
    const session = sessions.get(key);
    events.info('worker-unlisted', {
      worker: session?.incarnation.id,
      born: session?.incarnation.born,
      runs: session?.runs.size,
    });
    options.onChange();
  }

  /** Gives no work to the incarnations of a worker, except to the one that its entry names. Their runs go on. */
  function markUnusable(id: string, named?: string) {
    for (const key of keysById.get(id) ?? []) {
      if (key === named) continue;
      unlisted.set(key, { since: unlisted.get(key)?.since ?? performance.now(), usableUntil: 0 });
    }
  }

  function markUnreadable(id: string) {
    markUnusable(id);
    options.onChange();
  }

  /** The successor gets no work until its entry is known, because it may be of another kind. */
  function openSuccessor({ worker }: WorkerSession, born: number): WorkerSession {
    const incarnation = { id: worker.incarnation.id, born };
    const key = keyOf(incarnation);
    const known = sessions.get(key);
    if (known?.ended === false) return known;
    unlisted.set(key, { since: performance.now(), usableUntil: 0 });
    return addSession(key, { ...describeUnlisted(incarnation), address: worker.address });
  }

  function update(id: string, worker: FleetWorker | undefined) {
    if (worker === undefined) {
      for (const key of keysById.get(id) ?? []) markUnlisted(key);
      return;
    }
    const key = keyOf(worker.incarnation);
    // With clocks that jump, a former incarnation can have the higher time; its end is for its worker to tell.
    markUnusable(id, key);
    unlisted.delete(key);
    const known = sessions.get(key);
    if (known?.ended === true) return;
    const session = known ?? addSession(key, worker);
    const wasLeaving = known?.worker.state === 'leaving';
    known?.update(worker);
    endOlderIncarnations(session);
    if (known === undefined) {
      events.info('worker-listed', {
        worker: id,
        born: worker.incarnation.born,
        address: worker.address,
        service: worker.service,
        state: worker.state,
      });
    }
    if (worker.state === 'leaving') {
      if (!wasLeaving) {
        events.info('worker-leaving', {
          worker: id,
          leavesInMs: worker.leavesInMs,
          runs: session.runs.size,
        });
      }
      options.onLeaving(session);
    }
    options.onChange();
  }

  /**
   * Removes sessions of incarnations that have left and have neither runs nor ends that are not durable. Another session
   * with the same incarnation would not know these ends and acknowledge them.
   */
  function sweep() {
    const now = performance.now();
    for (const [key, { since }] of unlisted) {
      const session = sessions.get(key);
      if (session !== undefined && (session.runs.size > 0 || session.hasUnacknowledged)) continue;
      if (now - since < UNLISTED_GRACE_MS * 2) continue;
      session?.close();
      removeSession(key);
    }
  }
  const sweeper = setInterval(sweep, 1000);
  sweeper.unref();

  function mayGetWork(key: string, { worker }: WorkerSession): boolean {
    if (worker.state !== 'ready' || isEvacuated(worker.dataCentre)) return false;
    const absence = unlisted.get(key);
    return absence === undefined || performance.now() < absence.usableUntil;
  }

  return {
    usable: () => {
      const usable: WorkerSession[] = [];
      for (const [key, session] of sessions) {
        if (session.reachable && mayGetWork(key, session)) usable.push(session);
      }
      return usable;
    },
    acceptsWork: (session) => mayGetWork(keyOf(session.incarnation), session),
    all: () => sessions.values(),
    replace: (workers, unreadable) => {
      const listed = new Set([...workers.values()].map(({ incarnation }) => keyOf(incarnation)));
      for (const [key, session] of sessions) {
        if (listed.has(key)) continue;
        const { id } = session.incarnation;
        if (unreadable.has(id)) markUnreadable(id);
        else markUnlisted(key);
      }
      for (const [id, worker] of workers) {
        contain('worker', { worker: id }, () => {
          update(id, worker);
        });
      }
    },
    update,
    markUnreadable,
    sessionOf: (incarnation) => {
      const key = keyOf(incarnation);
      let session = sessions.get(key);
      if (session === undefined) {
        session = addSession(key, describeUnlisted(incarnation));
        unlisted.set(key, { since: performance.now(), usableUntil: 0 });
        events.warn('worker-not-listed', { worker: incarnation.id, born: incarnation.born });
      }
      return session;
    },
    find: (incarnation) => sessions.get(keyOf(incarnation)),
    openSuccessor,
    endFormerIncarnations: () => {
      for (const session of [...sessions.values()]) endOlderIncarnations(session);
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

function callDirectly(_source: string, _fields: unknown, handle: () => void) {
  handle();
}
