import { expect } from 'chai';
import {
  areKeysCurrent,
  newestContactAgeMs,
  type PeerStoreStatus,
  type StoreStatus,
} from '../../src/configuration/index.js';

const STALENESS_MS = 5000;
const cutOff: StoreStatus = { contactAgeMs: 60_000, reachable: false, revision: 7 };
const justStarted: StoreStatus = { contactAgeMs: Infinity, reachable: true, revision: 0 };
const peerWithoutStore: PeerStoreStatus = {
  contactAgeMs: 60_000,
  reachable: false,
  revision: 7,
  heartbeatAgeMs: 900,
};
const peerWithStore: PeerStoreStatus = {
  contactAgeMs: 1500,
  reachable: true,
  revision: 7,
  heartbeatAgeMs: 900,
};

type Row = readonly [string, StoreStatus, readonly (PeerStoreStatus | undefined)[], boolean];

const rows: readonly Row[] = [
  ['own read is recent', { ...cutOff, contactAgeMs: 5000, reachable: true }, [], true],
  ['own read is just too old', { ...cutOff, contactAgeMs: 5001, reachable: true }, [], false],
  [
    'cut off, but a peer reaches the store',
    cutOff,
    [peerWithoutStore, peerWithStore, undefined],
    true,
  ],
  [
    'the peer has a newer configuration',
    cutOff,
    [peerWithoutStore, { ...peerWithStore, revision: 8 }],
    false,
  ],
  ['the peer lags behind but has read recently', cutOff, [{ ...peerWithStore, revision: 6 }], true],
  ['the heartbeat of the peer is old', cutOff, [{ ...peerWithStore, heartbeatAgeMs: 3501 }], false],
  ['all hosts report the store unreachable', cutOff, [peerWithoutStore, peerWithoutStore], true],
  [
    'one of them says that it reaches the store',
    cutOff,
    [peerWithoutStore, { ...peerWithoutStore, reachable: true }],
    false,
  ],
  ['one of them was never heard from', cutOff, [peerWithoutStore, undefined], false],
  [
    'one of them was not heard from lately',
    cutOff,
    [peerWithoutStore, { ...peerWithoutStore, heartbeatAgeMs: 5001 }],
    false,
  ],
  ['one of them has a newer configuration', cutOff, [{ ...peerWithoutStore, revision: 8 }], false],
  [
    'own last call succeeded, others cannot',
    { ...cutOff, reachable: true },
    [peerWithoutStore],
    false,
  ],
  ['the only host cannot reach the store', cutOff, [], true],
  ['just started', justStarted, [peerWithStore], false],
  ['just started in an outage', { ...justStarted, reachable: false }, [peerWithoutStore], false],
  ['the clock stepped back', { ...cutOff, contactAgeMs: -10, reachable: true }, [], false],
  ['a peer claims a negative age', cutOff, [{ ...peerWithStore, contactAgeMs: -10_000 }], false],
];

describe('areKeysCurrent', () => {
  for (const [name, own, others, expected] of rows) {
    it(`is ${String(expected)} if ${name}, so that withdrawn keys stop within the bound`, () => {
      expect(areKeysCurrent({ stalenessMs: STALENESS_MS, own, others })).to.equal(expected);
    });
  }

  it('adds the age of the heartbeat to the age that the peer reported', () => {
    const input = { stalenessMs: STALENESS_MS, own: cutOff, others: [peerWithStore, undefined] };
    expect(newestContactAgeMs(input)).to.equal(2400);
  });
});
