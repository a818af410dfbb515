import { expect } from 'chai';
import { createContact } from '../../src/claims/contact.js';
import type { ClaimsOptions } from '../../src/claims/options.js';

const GAP_MS = 5000;

function startContact(peers: string[]) {
  const clock = { now: 0 };
  const contact = createContact({
    host: { id: 'h1', dataCentre: 'dc1' },
    membership: { live: () => ['h1', ...peers] },
    now: () => clock.now,
  } as unknown as ClaimsOptions);
  const step = (ms: number) => {
    clock.now += ms;
    contact.noteStep();
  };
  return { clock, contact, step };
}

describe('contact with the claims', () => {
  it('is missing before the first read, when a successor may have fenced everyone else', () => {
    expect(startContact(['h2']).contact.isCurrent()).to.equal(false);
  });

  it('survives an outage of the store while a peer is heard', () => {
    const { contact, step } = startContact(['h2']);
    contact.noteRead();
    for (let second = 0; second < 60; second += 1) step(1000);
    expect(contact.isCurrent()).to.equal(true);
  });

  const losses = [
    ['a pause', ['h2'], (run: ReturnType<typeof startContact>) => (run.clock.now += GAP_MS)],
    [
      'a time without store and peers',
      [],
      ({ step }: ReturnType<typeof startContact>) => {
        for (let second = 0; second < 6; second += 1) step(1000);
      },
    ],
  ] as const;
  for (const [name, peers, lose] of losses) {
    it(`is lost by ${name}, already for the first message after it, until the next read`, () => {
      const run = startContact([...peers]);
      run.contact.noteRead();
      lose(run);
      expect(run.contact.isCurrent()).to.equal(false);
      run.contact.noteStep();
      expect(run.contact.isCurrent()).to.equal(false);
      run.contact.noteRead();
      expect(run.contact.isCurrent()).to.equal(true);
    });
  }
});
