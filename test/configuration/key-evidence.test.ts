import { expect } from 'chai';
import {
  areKeysCurrent,
  newestContactAgeMs,
  type PeerStoreStatus,
  type StoreStatus,
} from '../../src/configuration/index.js';

const STALENESS_MS = 5000;
const cut: StoreStatus = { contactAgeMs: 60_000, reachable: false, revision: 7 };
const started: StoreStatus = { contactAgeMs: Infinity, reachable: true, revision: 0 };
const blind: PeerStoreStatus = {
  contactAgeMs: 60_000,
  reachable: false,
  revision: 7,
  heardAgeMs: 900,
};
const seeing: PeerStoreStatus = {
  contactAgeMs: 1500,
  reachable: true,
  revision: 7,
  heardAgeMs: 900,
};

type Row = readonly [string, StoreStatus, readonly (PeerStoreStatus | undefined)[], boolean];

const rows: readonly Row[] = [
  ['own read is recent', { ...cut, contactAgeMs: 5000, reachable: true }, [], true],
  ['own read is just too old', { ...cut, contactAgeMs: 5001, reachable: true }, [], false],
  ['cut off, but a peer reaches the store', cut, [blind, seeing, undefined], true],
  ['the peer has a newer configuration', cut, [blind, { ...seeing, revision: 8 }], false],
  ['the peer lags behind but has read recently', cut, [{ ...seeing, revision: 6 }], true],
  ['the heartbeat of the peer is old', cut, [{ ...seeing, heardAgeMs: 3501 }], false],
  ['all hosts report the store unreachable', cut, [blind, blind], true],
  [
    'one of them says that it reaches the store',
    cut,
    [blind, { ...blind, reachable: true }],
    false,
  ],
  ['one of them was never heard from', cut, [blind, undefined], false],
  ['one of them was not heard from lately', cut, [blind, { ...blind, heardAgeMs: 5001 }], false],
  ['one of them has a newer configuration', cut, [{ ...blind, revision: 8 }], false],
  ['own last call succeeded, others cannot', { ...cut, reachable: true }, [blind], false],
  ['the only host cannot reach the store', cut, [], true],
  ['just started', started, [seeing], false],
  ['just started in an outage', { ...started, reachable: false }, [blind], false],
  ['the clock stepped back', { ...cut, contactAgeMs: -10, reachable: true }, [], false],
  ['a peer claims a negative age', cut, [{ ...seeing, contactAgeMs: -10_000 }], false],
];

describe('areKeysCurrent', () => {
  for (const [name, own, others, expected] of rows) {
    it(`is ${String(expected)} if ${name}, so that withdrawn keys stop within the bound`, () => {
      expect(areKeysCurrent({ stalenessMs: STALENESS_MS, own, others })).to.equal(expected);
    });
  }

  it('adds the age of the heartbeat to the age that the peer reported', () => {
    const evidence = { stalenessMs: STALENESS_MS, own: cut, others: [seeing, undefined] };
    expect(newestContactAgeMs(evidence)).to.equal(2400);
  });
});
