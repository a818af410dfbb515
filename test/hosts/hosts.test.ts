import { expect } from 'chai';
import fc from 'fast-check';
import {
  choosePeers,
  createMembership,
  rendezvousOrder,
  type Heartbeat,
} from '../../src/hosts/index.js';
import { NO_RESOURCES, type Host } from '../../src/model/index.js';

function host(id: string, dataCentre = 'dc1', state: Host['state'] = 'live'): Host {
  const url = `http://${id}:1`;
  return { id, dataCentre, url, linkUrl: `ws://${id}:2`, state };
}

function heartbeat(id: string, state: Heartbeat['state'] = 'live', dataCentre = 'dc1'): Heartbeat {
  const load = {
    freeSlots: 0,
    free: NO_RESOURCES,
    largestFree: NO_RESOURCES,
    capacity: NO_RESOURCES,
    queued: { interactive: 0, batch: 0, gang: 0, service: 0 },
    waitMs: 0,
    teams: {},
  };
  const store = { revision: 1, storeContactAgeMs: 0, storeReachable: true };
  return { host: id, dataCentre, bootId: 'x', state, ...store, load };
}

const hostIds = fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 2, maxLength: 12 });

describe('rendezvousOrder', () => {
  it('keeps the order of the other hosts when a host is removed, so that only its keys move', () => {
    fc.assert(
      fc.property(fc.string(), hostIds, fc.nat(), (key, ids, pick) => {
        const removed = ids[pick % ids.length];
        const rest = ids.filter((id) => id !== removed);
        const expected = rendezvousOrder(key, ids).filter((id) => id !== removed);
        expect(rendezvousOrder(key, [...rest].reverse())).to.deep.equal(expected);
      }),
      { seed: 4 },
    );
  });

  const keyFormats: readonly (readonly [string, (index: number) => string])[] = [
    ['numbered keys', (index) => `worker:w${String(index)}`],
    ['padded keys', (index) => `w-${String(index).padStart(6, '0')}`],
    ['numbered suffixes', (index) => `${String(index)}.rack.dc1`],
  ];
  for (const [name, keyOf] of keyFormats) {
    it(`distributes ${name} evenly over hosts with similar ids, so that no host is overloaded`, () => {
      const ids = ['entry-1', 'entry-2', 'entry-3'];
      const counts = new Map<string, number>();
      for (let index = 0; index < 6000; index += 1) {
        const order = rendezvousOrder(keyOf(index), ids).join();
        counts.set(order, (counts.get(order) ?? 0) + 1);
      }
      // Six orders with 1000 keys each are expected; the standard deviation is about 29.
      expect(counts.size).to.equal(6);
      for (const count of counts.values()) expect(count).to.be.within(850, 1150);
    });
  }
});

describe('choosePeers', () => {
  const dataCentreSizes = fc.array(fc.integer({ min: 1, max: 5 }), { minLength: 1, maxLength: 9 });
  const createHosts = (sizes: readonly number[]) =>
    sizes.flatMap((size, dc) =>
      Array.from({ length: size }, (_, n) =>
        host(`e${String(dc)}-${String(n)}`, `dc${String(dc)}`),
      ),
    );

  it('chooses peers symmetrically and links every host to every data centre', () => {
    fc.assert(
      fc.property(dataCentreSizes, fc.integer({ min: 1, max: 3 }), (sizes, crossLinks) => {
        const hosts = createHosts(sizes);
        const chosen = new Map(
          hosts.map((self) => [self.id, choosePeers(self, hosts, crossLinks).map(({ id }) => id)]),
        );
        for (const self of hosts) {
          const peers = chosen.get(self.id) ?? [];
          expect(peers).not.to.include(self.id);
          for (const id of peers) expect(chosen.get(id)).to.include(self.id);
          sizes.forEach((size, dc) => {
            const name = `dc${String(dc)}`;
            const linked = peers.filter((id) => id.startsWith(`e${String(dc)}-`)).length;
            if (name === self.dataCentre) expect(linked).to.equal(size - 1);
            else expect(linked).to.be.within(Math.min(size, crossLinks), size);
          });
        }
      }),
      { seed: 5 },
    );
  });

  it('keeps the links between the other hosts when a host is lost', () => {
    const hosts = createHosts([3, 3, 3]);
    const [lost, ...rest] = hosts;
    for (const self of rest) {
      const before = choosePeers(self, hosts).filter((peer) => peer !== lost);
      expect(choosePeers(self, rest)).to.include.members([...before]);
    }
  });
});

describe('membership', () => {
  let clockMs = 0;
  const create = (peers: readonly Host[] = []) =>
    createMembership({ host: host('a'), peers, now: () => clockMs, suspectAfterMs: 100 });
  const known = (membership: ReturnType<typeof create>) =>
    membership
      .hosts()
      .map(({ id }) => id)
      .sort();

  beforeEach(() => {
    clockMs = 1000;
  });

  it('suspects a host only after the whole timeout, and no longer after its next heartbeat', () => {
    const membership = create();
    membership.recordHeartbeat(heartbeat('b'));
    clockMs += 100;
    expect(membership.live()).to.deep.equal(['a', 'b']);
    clockMs += 1;
    expect(membership.live()).to.deep.equal(['a']);
    expect(membership.heartbeatAgeMs('b')).to.equal(101);
    clockMs = 500;
    membership.recordHeartbeat(heartbeat('b'));
    expect(membership.live()).to.deep.equal(['a', 'b']);
  });

  it('suspects a dead host within the timeout even if the clock was set back', () => {
    const membership = create();
    membership.recordHeartbeat(heartbeat('b'));
    clockMs = 500;
    expect(membership.live()).to.deep.equal(['a', 'b']);
    clockMs += 101;
    expect(membership.live()).to.deep.equal(['a']);
  });

  const leavingCases: readonly (readonly [
    string,
    (m: ReturnType<typeof create>) => void,
    string[],
  ])[] = [
    [
      'its heartbeat reports it',
      (m) => {
        m.recordHeartbeat(heartbeat('b', 'leaving'));
      },
      ['a'],
    ],
    [
      'the host list reports it for a peer',
      (m) => {
        m.setFleet({ workers: [], hosts: [host('b', 'dc1', 'leaving')] });
      },
      ['a'],
    ],
    [
      'the host list reports it for this host',
      (m) => {
        m.setFleet({ workers: [], hosts: [host('a', 'dc1', 'leaving')] });
      },
      ['b'],
    ],
    [
      'this host leaves',
      (m) => {
        m.leave();
      },
      ['b'],
    ],
  ];
  for (const [name, act, expected] of leavingCases) {
    it(`excludes a leaving host when ${name}, so that it gets no new work`, () => {
      const membership = create();
      membership.recordHeartbeat(heartbeat('b'));
      act(membership);
      expect(membership.live()).to.deep.equal(expected);
    });
  }

  it('keeps a host that is missing in a stale list until its heartbeats stop', () => {
    const membership = create([host('p')]);
    membership.setFleet({ workers: [], hosts: [host('b'), host('c')] });
    membership.recordHeartbeat(heartbeat('b'));
    membership.setFleet({ workers: [], hosts: [] });
    expect(known(membership)).to.deep.equal(['a', 'b', 'p']);
    clockMs += 101;
    membership.setFleet({ workers: [], hosts: [] });
    expect(known(membership)).to.deep.equal(['a', 'p']);
    expect(membership.heartbeat('b')).to.equal(undefined);
  });

  it('prefers the address in the host list to the one in the settings, because hosts are replaced', () => {
    const membership = create([host('p')]);
    membership.setFleet({ workers: [], hosts: [{ ...host('p'), linkUrl: 'ws://new:2' }] });
    expect(membership.hosts().find(({ id }) => id === 'p')?.linkUrl).to.equal('ws://new:2');
  });

  it('filters live hosts by the data centre in their heartbeats', () => {
    const membership = create();
    membership.recordHeartbeat(heartbeat('b', 'live', 'dc2'));
    expect(membership.live('dc1')).to.deep.equal(['a']);
    expect(membership.live('dc2')).to.deep.equal(['b']);
    expect(membership.dataCentres()).to.deep.equal(['dc1']);
  });
});
