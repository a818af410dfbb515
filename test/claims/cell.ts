/**
 * A simulated data centre of entry hosts for the tests of claims. The hosts share a store and a
 * clock, and the test controls which heartbeats each of them receives.
 */
import { createHash } from 'node:crypto';
import { createClaims, type Claims, type ClaimsOptions } from '../../src/claims/index.js';
import type { Heartbeat, LoadSummary, Membership } from '../../src/hosts/index.js';
import { SILENT_LOG } from '../../src/log/index.js';
import type { Host } from '../../src/model/index.js';
import { createMemoryStore, type Store } from '../../src/platform/index.js';

export const GRACE_MS = 5000;

export function rendezvousOrder(key: string, hosts: readonly string[]): readonly string[] {
  const hash = (host: string) => createHash('sha256').update(`${key} ${host}`).digest('hex');
  return [...hosts].sort((left, right) => hash(right).localeCompare(hash(left)));
}

function createHost(id: string): Host {
  return { id, dataCentre: 'dc', url: '', linkUrl: '', state: 'live' };
}

/** One process of a host, identified by its boot id. */
export interface Member {
  readonly id: string;
  readonly bootId: string;
  readonly claims: Claims;
  readonly lostSubjects: string[];
  /** Hosts whose heartbeats this one receives. */
  readonly heardHosts: Set<string>;
  /** Makes taking over a subject fail. */
  failTakeovers: boolean;
}

export type Cell = ReturnType<typeof createCell>;

export function createCell(
  subjects: string[],
  store: Store = createMemoryStore(),
  timings: Partial<ClaimsOptions> = { startGraceMs: GRACE_MS },
) {
  const members = new Map<string, Member>();
  const knownHosts = new Set<string>();
  const [leaving, withoutStore] = [new Set<string>(), new Set<string>()];
  const cell = { subjects, now: 1_000_000, leaving, withoutStore, boot, kill };

  function boot(id: string, bootId: string, ownStore = store): Member {
    const heardHosts = new Set([...knownHosts, id]);
    for (const other of members.values()) other.heardHosts.add(id);
    knownHosts.add(id);
    const membership = createView(heardHosts);
    const identity = { host: createHost(id), bootId, membership, subjects: () => cell.subjects };
    const dependencies = { store: ownStore, rendezvousOrder, now: () => cell.now, log: SILENT_LOG };
    const claims = createClaims({ ...identity, ...dependencies, ...timings });
    const member: Member = {
      id,
      bootId,
      claims,
      lostSubjects: [],
      heardHosts,
      failTakeovers: false,
    };
    claims.onGain(() =>
      member.failTakeovers ? Promise.reject(new Error('no answer')) : Promise.resolve(),
    );
    claims.onLoss((claim) => member.lostSubjects.push(claim.subject));
    members.set(id, member);
    return member;
  }

  /** Ends a process. The others no longer receive its heartbeats. */
  function kill(member: Member): void {
    if (members.get(member.id) === member) members.delete(member.id);
    for (const other of members.values()) other.heardHosts.delete(member.id);
  }

  function heartbeatOf(id: string): Heartbeat | undefined {
    const bootId = members.get(id)?.bootId;
    if (bootId === undefined) return undefined;
    const state = cell.leaving.has(id) ? 'leaving' : 'live';
    const contact = { storeContactAgeMs: 0, storeReachable: !withoutStore.has(id) };
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

  function createView(heardHosts: Set<string>): Membership {
    return {
      recordHeartbeat: () => undefined,
      setFleet: () => undefined,
      leave: () => undefined,
      live: () => [...heardHosts].filter((id) => heartbeatOf(id)?.state === 'live'),
      heartbeat: (id) => (heardHosts.has(id) ? heartbeatOf(id) : undefined),
      hosts: () => [...knownHosts].map(createHost),
      dataCentres: () => ['dc'],
      workers: () => [],
    };
  }
  return cell;
}
