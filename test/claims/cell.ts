/**
 * A data centre of entry hosts for the tests of claims: one store, one clock, and a membership per
 * host whose view the test sets.
 */
import { createHash } from 'node:crypto';
import { createClaims, type Claims, type ClaimsOptions } from '../../src/claims/index.js';
import type { Heartbeat, Membership } from '../../src/hosts/index.js';
import { SILENT_LOG } from '../../src/log/index.js';
import { NO_RESOURCES, type Host } from '../../src/model/index.js';
import { createMemoryStore, type Store } from '../../src/platform/index.js';

export const GRACE_MS = 5000;

export function rendezvousOrder(key: string, hosts: readonly string[]): readonly string[] {
  const weigh = (host: string) => createHash('sha256').update(`${key} ${host}`).digest('hex');
  return [...hosts].sort((left, right) => weigh(right).localeCompare(weigh(left)));
}

const QUEUED = { interactive: 0, batch: 0, gang: 0, service: 0 };
const SIZES = { free: NO_RESOURCES, largestFree: NO_RESOURCES, capacity: NO_RESOURCES };
const LOAD = { freeSlots: 0, ...SIZES, queued: QUEUED, waitMs: 0, teams: {} };

function hostOf(id: string): Host {
  return { id, dataCentre: 'dc', url: '', linkUrl: '', state: 'live' };
}

export interface Member {
  readonly id: string;
  readonly bootId: string;
  readonly claims: Claims;
  /** Events in order: `+subject@epoch` and `-subject@epoch`. */
  readonly events: string[];
  /** Hosts that this one hears. */
  readonly hears: Set<string>;
  /** While set, taking a subject over fails. */
  failGains: boolean;
}

export interface Cell {
  readonly subjects: string[];
  now: number;
  boot(id: string, bootId: string, store?: Store): Member;
  /** Ends a process; the others stop hearing it. */
  kill(member: Member): void;
  readonly leaving: Set<string>;
  readonly cutOff: Set<string>;
}

export function createCell(
  subjects: string[],
  store: Store = createMemoryStore(),
  timings: Pick<ClaimsOptions, 'startGraceMs' | 'silentOwnerMs'> = { startGraceMs: GRACE_MS },
): Cell {
  const members = new Map<string, Member>();
  const known = new Set<string>();
  const cell: Cell = {
    subjects,
    now: 1_000_000,
    leaving: new Set(),
    cutOff: new Set(),
    kill: (member) => {
      if (members.get(member.id) === member) members.delete(member.id);
      for (const other of members.values()) other.hears.delete(member.id);
    },
    boot: (id, bootId, ownStore = store) => {
      const hears = new Set([...known, id]);
      for (const other of members.values()) other.hears.add(id);
      known.add(id);
      const claims = createClaims({
        store: ownStore,
        membership: createView(id, hears),
        host: hostOf(id),
        bootId,
        subjects: () => cell.subjects,
        rendezvousOrder,
        now: () => cell.now,
        log: SILENT_LOG,
        ...timings,
      });
      const member: Member = { id, bootId, claims, events: [], hears, failGains: false };
      claims.onGain((claim) => {
        if (member.failGains) return Promise.reject(new Error('the worker does not answer'));
        member.events.push(`+${claim.subject}@${String(claim.epoch)}`);
        return Promise.resolve();
      });
      claims.onLoss((claim) => member.events.push(`-${claim.subject}@${String(claim.epoch)}`));
      members.set(id, member);
      return member;
    },
  };

  function heartbeatOf(id: string): Heartbeat | undefined {
    const bootId = members.get(id)?.bootId;
    if (bootId === undefined) return undefined;
    const state = cell.leaving.has(id) ? 'leaving' : 'live';
    const storeReachable = !cell.cutOff.has(id);
    const contact = { storeContactAgeMs: 0, storeReachable };
    return { host: id, dataCentre: 'dc', bootId, state, revision: 1, ...contact, load: LOAD };
  }

  function createView(self: string, hears: Set<string>): Membership {
    return {
      observe: () => undefined,
      setFleet: () => undefined,
      leave: () => undefined,
      live: () =>
        [...hears].filter(
          (id) => !cell.leaving.has(id) && (id === self || heartbeatOf(id) !== undefined),
        ),
      heartbeat: (id) => (hears.has(id) ? heartbeatOf(id) : undefined),
      hosts: () => [...known].map(hostOf),
      dataCentres: () => ['dc'],
      workers: () => [],
    };
  }
  return cell;
}
