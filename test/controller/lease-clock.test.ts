/**
 * When a worker's lease has certainly expired: guards against work that is started elsewhere too early.
 */
import { expect } from 'chai';
import { createLeaseClock } from '../../src/controller/lease-clock.js';

describe('lease of a worker', () => {
  let now = 0;
  let confirmed = true;
  const create = () =>
    createLeaseClock({
      inheritedLeaseUntil: 18_000,
      isConfirmed: () => confirmed,
      monotonicNow: () => now,
    });

  beforeEach(() => {
    now = 0;
    confirmed = true;
  });

  it('holds until it has expired on a clock that is 2 % slow, and half a second more', () => {
    const clock = create();
    clock.note(100_000);
    clock.extend(108_000);
    now = 8600;
    expect(clock.hasExpired()).to.equal(false);
    now = 8700;
    expect(clock.hasExpired()).to.equal(true);
  });

  it('is never shortened', () => {
    const clock = create();
    clock.note(100_000);
    clock.extend(108_000);
    clock.extend(102_000);
    now = 5000;
    expect(clock.hasExpired()).to.equal(false);
  });

  it('ignores answers that overtook each other', () => {
    const clock = create();
    clock.note(100_000);
    now = 1000;
    clock.note(99_000);
    expect(clock.now()).to.equal(101_000);
  });

  it('holds for the inherited bound while the worker has not answered', () => {
    confirmed = false;
    const clock = create();
    now = 17_900;
    expect(clock.hasExpired()).to.equal(false);
    now = 18_100;
    expect(clock.hasExpired()).to.equal(true);
  });
});
