import { expect } from 'chai';
import { createRouter } from '../../src/entry/routing.js';
import type { Heartbeat, LoadSummary, Membership } from '../../src/hosts/index.js';
import type { Host, WorkRequest } from '../../src/model/index.js';
import type { Scheduler } from '../../src/scheduling/index.js';

const HOST: Host = { id: 'self', dataCentre: 'dc1', url: '', linkUrl: '', state: 'live' };
const ROOM = { processors: 8, memoryMb: 8192, accelerators: 0 };
const REQUEST = {
  team: 'lawns',
  class: 'interactive',
  size: { processors: 1, memoryMb: 1, accelerators: 0 },
  hops: [],
} as unknown as WorkRequest;

function loadOf(changes: Partial<LoadSummary> = {}): LoadSummary {
  return {
    freeSlots: 8,
    free: ROOM,
    largestFree: ROOM,
    capacity: ROOM,
    queued: { interactive: 0, batch: 0, gang: 0, service: 0 },
    waitMs: 0,
    teams: { lawns: { running: 0, used: ROOM, spare: 5 } },
    ...changes,
  };
}

const FULL = loadOf({
  freeSlots: 0,
  queued: { interactive: 3, batch: 0, gang: 0, service: 0 },
  waitMs: 50,
});

interface Peer {
  readonly host: string;
  readonly dataCentre?: string;
  readonly load?: LoadSummary;
  readonly state?: 'live' | 'leaving';
  readonly linked?: boolean;
}

function createTestRouter(own: LoadSummary, peers: readonly Peer[], leaving = false) {
  const heartbeats = peers.map(({ host, dataCentre = 'dc1', load = loadOf(), state = 'live' }) => {
    return { host, dataCentre, state, load } as unknown as Heartbeat;
  });
  return createRouter({
    host: HOST,
    membership: {
      live: () => ['self', ...peers.map(({ host }) => host)],
      heartbeat: (id: string) => heartbeats.find((heartbeat) => heartbeat.host === id),
    } as unknown as Membership,
    scheduler: { load: () => own } as unknown as Scheduler,
    connected: () => peers.filter(({ linked }) => linked !== false).map(({ host }) => host),
    accepting: () => !leaving,
    spare: (team) => own.teams[team]?.spare ?? 0,
  });
}

describe('routing', () => {
  const near = { host: 'near' };
  const far = { host: 'far', dataCentre: 'dc2' };
  const exhausted = loadOf({ teams: { lawns: { running: 5, used: ROOM, spare: 0 } } });
  const queued = { interactive: 1, batch: 0, gang: 0, service: 0 };
  const withOneQueued = loadOf({ queued, waitMs: 1 });
  const cases: readonly [string, LoadSummary, readonly Peer[], boolean, string][] = [
    ['stays here while there is free capacity', loadOf(), [near], false, 'local'],
    ['goes to a peer with free capacity', FULL, [far, near], false, 'near'],
    [
      'goes to another data centre if its own is full',
      FULL,
      [{ ...near, load: FULL }, far],
      false,
      'far',
    ],
    ['goes to a peer where the team has allotment left', exhausted, [near], false, 'near'],
    [
      'is queued here if no host has free capacity',
      FULL,
      [{ ...near, load: FULL }],
      false,
      'local',
    ],
    // Guards against crossing data centres, perhaps over a broken link, only because two requests arrive in one turn.
    [
      'stays here if the queued requests leave a slot free',
      withOneQueued,
      [near, far],
      false,
      'local',
    ],
    [
      'goes to a near peer whose queued requests leave a slot free before it crosses data centres',
      FULL,
      [far, { ...near, load: withOneQueued }],
      false,
      'near',
    ],
    [
      'goes to a peer if the queued requests take all slots here',
      loadOf({ freeSlots: 1, queued }),
      [near],
      false,
      'near',
    ],
    ['never goes to a leaving peer', FULL, [{ ...near, state: 'leaving' }], false, 'local'],
    ['never goes to a peer without a link', FULL, [{ ...near, linked: false }], false, 'local'],
    [
      'goes to a peer if this host shuts down, even if all peers are full',
      loadOf(),
      [{ ...near, load: FULL }],
      true,
      'near',
    ],
    ['has no route if no host can take it', loadOf(), [], true, 'none'],
  ];
  for (const [name, own, peers, leaving, expected] of cases) {
    it(name, () => {
      const route = createTestRouter(own, peers, leaving).route(REQUEST);
      expect(route.kind === 'peer' ? route.host : route.kind).to.equal(expected);
    });
  }

  it('of a job goes to a peer if jobs are queued here, because they wait for room', () => {
    const own = loadOf({ queued: { interactive: 0, batch: 1, gang: 0, service: 0 } });
    const route = createTestRouter(own, [near]).route({ ...REQUEST, class: 'batch' });
    expect(route.kind).to.equal('peer');
  });

  it('counts forwarded requests, so that a burst does not overload one peer between heartbeats', () => {
    const one = { ...loadOf({ freeSlots: 1 }) };
    const router = createTestRouter(FULL, [{ host: 'near', load: one }]);
    expect(router.route(REQUEST).kind).to.equal('peer');
    router.recordForward('near');
    expect(router.route(REQUEST).kind).to.equal('local');
    router.recordReply('near');
    expect(router.route(REQUEST).kind).to.equal('peer');
  });

  it('keeps a request after two hops, so that full hosts do not pass it around', () => {
    const router = createTestRouter(FULL, [near]);
    const request = { ...REQUEST, hops: ['a', 'b'] };
    expect(router.route(request).kind).to.equal('local');
  });
});
