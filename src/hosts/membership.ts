/**
 * One entry host's view of all others. It combines the platform's host list, which may be out of date,
 * the peers from the settings, and heartbeats, which show which hosts are alive.
 */
import type { Fleet, Host, Worker } from '../model/index.js';
import type { Heartbeat, Membership } from './heartbeat.js';

/** A membership that also returns the age of the last heartbeat of each host. */
export interface TimedMembership extends Membership {
  /** Age of the last heartbeat in milliseconds; undefined if there was none. */
  heartbeatAgeMs(host: string): number | undefined;
}

export interface MembershipOptions {
  readonly host: Host;
  /** Hosts from the settings, which stay known even if the host list does not contain them. */
  readonly peers: readonly Host[];
  readonly now: () => number;
  /** A host without a heartbeat for longer than this is suspected to be dead. */
  readonly suspectAfterMs?: number;
}

export const DEFAULT_SUSPECT_AFTER_MS = 5000;

interface ReceivedHeartbeat {
  readonly heartbeat: Heartbeat;
  at: number;
}

interface MembershipState {
  fleet: Fleet;
  left: boolean;
  readonly knownHosts: Map<string, Host>;
  readonly heartbeats: Map<string, ReceivedHeartbeat>;
}

export function createMembership(options: MembershipOptions): TimedMembership {
  const { host: self, now } = options;
  const suspectAfterMs = options.suspectAfterMs ?? DEFAULT_SUSPECT_AFTER_MS;
  const state: MembershipState = {
    fleet: { workers: [], hosts: [] },
    left: false,
    knownHosts: new Map([...options.peers, self].map((host) => [host.id, host])),
    heartbeats: new Map(),
  };

  function heartbeatAgeMs(host: string): number | undefined {
    const received = state.heartbeats.get(host);
    if (received === undefined) return undefined;
    // Otherwise a dead host would seem alive after the clock was set back, until it has caught up.
    received.at = Math.min(received.at, now());
    return now() - received.at;
  }

  function isFresh(host: string): boolean {
    return (heartbeatAgeMs(host) ?? Infinity) <= suspectAfterMs;
  }

  function isLeaving(host: string): boolean {
    if (state.knownHosts.get(host)?.state === 'leaving') return true;
    if (host === self.id) return state.left;
    return state.heartbeats.get(host)?.heartbeat.state === 'leaving';
  }

  function dataCentreOf(host: string): string | undefined {
    if (host === self.id) return self.dataCentre;
    return state.heartbeats.get(host)?.heartbeat.dataCentre;
  }

  return {
    recordHeartbeat: (heartbeat) => {
      state.heartbeats.set(heartbeat.host, { heartbeat, at: now() });
    },
    setFleet: (fleet) => {
      applyFleet(state, options, fleet, isFresh);
    },
    leave: () => {
      state.left = true;
    },
    live: (dataCentre) =>
      [...new Set([self.id, ...state.heartbeats.keys()])]
        .filter((host) => host === self.id || isFresh(host))
        .filter((host) => !isLeaving(host))
        .filter((host) => dataCentre === undefined || dataCentreOf(host) === dataCentre)
        .sort(),
    heartbeat: (host) => state.heartbeats.get(host)?.heartbeat,
    heartbeatAgeMs,
    hosts: () => [...state.knownHosts.values()],
    dataCentres: () => {
      const machines = [...state.knownHosts.values(), ...state.fleet.workers];
      return [...new Set(machines.map((machine) => machine.dataCentre))].sort();
    },
    workers: (dataCentre): readonly Worker[] =>
      state.fleet.workers.filter((worker) => worker.dataCentre === dataCentre),
  };
}

/**
 * Applies a host list. Its entries take precedence over the settings, because addresses change when a
 * host is replaced. A host that it no longer contains stays known while its heartbeats arrive.
 */
function applyFleet(
  state: MembershipState,
  { host: self, peers }: MembershipOptions,
  fleet: Fleet,
  isFresh: (host: string) => boolean,
): void {
  const kept = [...state.knownHosts.values()].filter((host) => isFresh(host.id));
  const known = [...peers, ...kept, self, ...fleet.hosts];
  state.fleet = fleet;
  state.knownHosts.clear();
  for (const host of known) state.knownHosts.set(host.id, host);
  for (const host of [...state.heartbeats.keys()]) {
    if (!state.knownHosts.has(host) && !isFresh(host)) state.heartbeats.delete(host);
  }
}
