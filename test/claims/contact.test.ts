import { expect } from 'chai';
import { createContactTracker } from '../../src/claims/contact.js';
import type { ClaimsOptions } from '../../src/claims/options.js';

function startContact(peers: string[]) {
  const clock = { now: 0 };
  const contact = createContactTracker({
    host: { id: 'h1', dataCentre: 'dc1' },
    membership: { live: () => ['h1', ...peers] },
    now: () => clock.now,
  } as unknown as ClaimsOptions);
  const step = (ms: number) => {
    clock.now += ms;
    contact.checkPeers();
  };
  return { clock, contact, step };
}

describe('contact tracker of the claims', () => {
  it('is not current before the first read, because a successor may have fenced all other hosts', () => {
    expect(startContact(['h2']).contact.isCurrent()).to.equal(false);
  });

  it('stays current during an outage of the store while heartbeats of a peer arrive', () => {
    const { contact, step } = startContact(['h2']);
    contact.noteRead();
    for (let second = 0; second < 60; second += 1) step(1000);
    expect(contact.isCurrent()).to.equal(true);
  });

  it('is not current after a period without store and peers, until the next read', () => {
    const { contact, step } = startContact([]);
    contact.noteRead();
    for (let second = 0; second < 6; second += 1) step(1000);
    expect(contact.isCurrent()).to.equal(false);
    contact.noteRead();
    expect(contact.isCurrent()).to.equal(true);
  });
});
