/**
 * Guards against work that is started elsewhere while its former worker may still hold a lease.
 */
import { expect } from 'chai';
import { createLeaseClock } from '../../src/controller/lease-clock.js';

describe('worker lease clock', () => {
  let now = 0;
  let confirmed = true;
  const create = () =>
    createLeaseClock({
      inheritedLeaseUntil: () => 18_000,
      isConfirmed: () => confirmed,
      monotonicNow: () => now,
    });

  beforeEach(() => {
    now = 0;
    confirmed = true;
  });

  it('expires half a second after the end of the lease on a clock that is 2 % slow', () => {
    const clock = create();
    clock.note(100_000);
    clock.extend(108_000);
    now = 8600;
    expect(clock.hasExpired()).to.equal(false);
    now = 8700;
    expect(clock.hasExpired()).to.equal(true);
  });

  it('never shortens a lease', () => {
    const clock = create();
    clock.note(100_000);
    clock.extend(108_000);
    clock.extend(102_000);
    now = 5000;
    expect(clock.hasExpired()).to.equal(false);
  });

  it('ignores an answer that arrives after a later one', () => {
    const clock = create();
    clock.note(100_000);
    now = 1000;
    clock.note(99_000);
    expect(clock.now()).to.equal(101_000);
  });

  it('uses the inherited bound until the worker has answered', () => {
    confirmed = false;
    const clock = create();
    now = 17_900;
    expect(clock.hasExpired()).to.equal(false);
    now = 18_100;
    expect(clock.hasExpired()).to.equal(true);
  });
});
