/**
 * The view that one entry host has of all others. It is built from the platform's host list, which
 * lags behind, from the peers named in the settings, and from heartbeats, which tell who is alive.
 */
import type { Fleet, Host, Worker } from '../model/index.js';
import type { Heartbeat, Membership } from './heartbeat.js';

/** A membership that also tells how long ago a host was heard from. */
export interface TimedMembership extends Membership {
  /** Age of the last heartbeat in milliseconds; undefined if there was none. */
  heartbeatAgeMs(host: string): number | undefined;
}

export interface MembershipOptions {
  readonly host: Host;
  /** Hosts named in the settings; they stay known whatever the host list says. */
  readonly peers: readonly Host[];
  readonly now: () => number;
  /** A host that was not heard from for so long is suspected to be dead. */
  readonly suspectAfterMs?: number;
}

export const DEFAULT_SUSPECT_AFTER_MS = 5000;

interface Heard {
  readonly heartbeat: Heartbeat;
  at: number;
}

interface View {
  fleet: Fleet;
  left: boolean;
  readonly known: Map<string, Host>;
  readonly heard: Map<string, Heard>;
}

export function createMembership(options: MembershipOptions): TimedMembership {
  const { host: self, now } = options;
  const suspectAfterMs = options.suspectAfterMs ?? DEFAULT_SUSPECT_AFTER_MS;
  const view: View = {
    fleet: { workers: [], hosts: [] },
    left: false,
    known: new Map([...options.peers, self].map((host) => [host.id, host])),
    heard: new Map(),
  };

  function ageOf(host: string): number | undefined {
    const heard = view.heard.get(host);
    if (heard === undefined) return undefined;
    // After the clock stepped back, a dead host would otherwise seem alive until it caught up.
    heard.at = Math.min(heard.at, now());
    return now() - heard.at;
  }

  function isFresh(host: string): boolean {
    return (ageOf(host) ?? Infinity) <= suspectAfterMs;
  }

  function isLeaving(host: string): boolean {
    if (view.known.get(host)?.state === 'leaving') return true;
    if (host === self.id) return view.left;
    return view.heard.get(host)?.heartbeat.state === 'leaving';
  }

  function dataCentreOf(host: string): string | undefined {
    if (host === self.id) return self.dataCentre;
    return view.heard.get(host)?.heartbeat.dataCentre;
  }

  return {
    recordHeartbeat: (heartbeat) => {
      view.heard.set(heartbeat.host, { heartbeat, at: now() });
    },
    setFleet: (fleet) => {
      adoptFleet(view, options, fleet, isFresh);
    },
    leave: () => {
      view.left = true;
    },
    live: (dataCentre) =>
      [...new Set([self.id, ...view.heard.keys()])]
        .filter((host) => host === self.id || isFresh(host))
        .filter((host) => !isLeaving(host))
        .filter((host) => dataCentre === undefined || dataCentreOf(host) === dataCentre)
        .sort(),
    heartbeat: (host) => view.heard.get(host)?.heartbeat,
    heartbeatAgeMs: ageOf,
    hosts: () => [...view.known.values()],
    dataCentres: () => {
      const machines = [...view.known.values(), ...view.fleet.workers];
      return [...new Set(machines.map((machine) => machine.dataCentre))].sort();
    },
    workers: (dataCentre): readonly Worker[] =>
      view.fleet.workers.filter((worker) => worker.dataCentre === dataCentre),
  };
}

/**
 * Takes over a host list. Its entries win over the settings, because addresses change when a host is
 * replaced. A host that it no longer names stays known while it is heard from.
 */
function adoptFleet(
  view: View,
  { host: self, peers }: MembershipOptions,
  fleet: Fleet,
  isFresh: (host: string) => boolean,
): void {
  const kept = [...view.known.values()].filter((host) => isFresh(host.id));
  const known = [...peers, ...kept, self, ...fleet.hosts];
  view.fleet = fleet;
  view.known.clear();
  for (const host of known) view.known.set(host.id, host);
  for (const host of [...view.heard.keys()]) {
    if (!view.known.has(host) && !isFresh(host)) view.heard.delete(host);
  }
}
