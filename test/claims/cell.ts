/**
 * A data centre of entry hosts for the tests of claims: one store, one clock, and a membership per
 * host whose view the test sets.
 */
import { createHash } from 'node:crypto';
import { createClaims, type Claims, type ClaimsOptions } from '../../src/claims/index.js';
import type { Heartbeat, LoadSummary, Membership } from '../../src/hosts/index.js';
import { SILENT_LOG } from '../../src/log/index.js';
import type { Host } from '../../src/model/index.js';
import { createMemoryStore, type Store } from '../../src/platform/index.js';

export const GRACE_MS = 5000;

export function rendezvousOrder(key: string, hosts: readonly string[]): readonly string[] {
  const weigh = (host: string) => createHash('sha256').update(`${key} ${host}`).digest('hex');
  return [...hosts].sort((left, right) => weigh(right).localeCompare(weigh(left)));
}

function hostOf(id: string): Host {
  return { id, dataCentre: 'dc', url: '', linkUrl: '', state: 'live' };
}

/** One boot of a host. */
export interface Member {
  readonly id: string;
  readonly bootId: string;
  readonly claims: Claims;
  readonly losses: string[];
  /** Hosts that this one hears. */
  readonly hears: Set<string>;
  /** While set, taking a subject over fails. */
  failGains: boolean;
}

export type Cell = ReturnType<typeof createCell>;

export function createCell(
  subjects: string[],
  store: Store = createMemoryStore(),
  timings: Partial<ClaimsOptions> = { startGraceMs: GRACE_MS },
) {
  const members = new Map<string, Member>();
  const known = new Set<string>();
  const [leaving, cutOff] = [new Set<string>(), new Set<string>()];
  const cell = { subjects, now: 1_000_000, leaving, cutOff, boot, kill };

  function boot(id: string, bootId: string, ownStore = store): Member {
    const hears = new Set([...known, id]);
    for (const other of members.values()) other.hears.add(id);
    known.add(id);
    const membership = createView(hears);
    const identity = { host: hostOf(id), bootId, membership, subjects: () => cell.subjects };
    const tools = { store: ownStore, rendezvousOrder, now: () => cell.now, log: SILENT_LOG };
    const claims = createClaims({ ...identity, ...tools, ...timings });
    const member: Member = { id, bootId, claims, losses: [], hears, failGains: false };
    claims.onGain(() =>
      member.failGains ? Promise.reject(new Error('no answer')) : Promise.resolve(),
    );
    claims.onLoss((claim) => member.losses.push(claim.subject));
    members.set(id, member);
    return member;
  }

  /** Ends a process; the others stop hearing it. */
  function kill(member: Member): void {
    if (members.get(member.id) === member) members.delete(member.id);
    for (const other of members.values()) other.hears.delete(member.id);
  }

  function heartbeatOf(id: string): Heartbeat | undefined {
    const bootId = members.get(id)?.bootId;
    if (bootId === undefined) return undefined;
    const state = cell.leaving.has(id) ? 'leaving' : 'live';
    const contact = { storeContactAgeMs: 0, storeReachable: !cutOff.has(id) };
    return {
      host: id,
      dataCentre: 'dc',
      bootId,
      state,
      revision: 1,
      ...contact,
      load: {} as LoadSummary,
    };
  }

  function createView(hears: Set<string>): Membership {
    return {
      recordHeartbeat: () => undefined,
      setFleet: () => undefined,
      leave: () => undefined,
      live: () => [...hears].filter((id) => heartbeatOf(id)?.state === 'live'),
      heartbeat: (id) => (hears.has(id) ? heartbeatOf(id) : undefined),
      hosts: () => [...known].map(hostOf),
      dataCentres: () => ['dc'],
      workers: () => [],
    };
  }
  return cell;
}
