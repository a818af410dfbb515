/**
 * Guards against work that is started elsewhere while its former worker may still hold a lease.
 */
import { expect } from 'chai';
import { createLeaseClock } from '../../src/controller/lease-clock.js';
import type { LeaseClock } from '../../src/controller/lease-clock.js';

describe('worker lease clock', () => {
  let now = 0;
  let confirmed = true;
  const create = () =>
    createLeaseClock({
      inheritedLeaseUntil: () => 18_000,
      isConfirmed: () => confirmed,
      monotonicNow: () => now,
    });

  const hasExpired = (clock: LeaseClock) => now > clock.expiresAt();

  beforeEach(() => {
    now = 0;
    confirmed = true;
  });

  it('expires half a second after the end of the lease on a clock that is 2 % slow', () => {
    const clock = create();
    clock.note(100_000);
    clock.extend(108_000);
    now = 8600;
    expect(hasExpired(clock)).to.equal(false);
    now = 8700;
    expect(hasExpired(clock)).to.equal(true);
  });

  it('never shortens a lease', () => {
    const clock = create();
    clock.note(100_000);
    clock.extend(108_000);
    clock.extend(102_000);
    now = 5000;
    expect(hasExpired(clock)).to.equal(false);
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
    expect(hasExpired(clock)).to.equal(false);
    now = 18_100;
    expect(hasExpired(clock)).to.equal(true);
  });

  // Answers were taken for those of the incarnation that the leader knew, whatever their clocks were.
  describe('tells which incarnation has answered a call', () => {
    /** A report at 100 s of its clock that was requested at 1 s and arrived at 1.9 s. */
    function createReported(workerMs = 100_000): LeaseClock {
      const clock = create();
      now = 1900;
      clock.noteReport(workerMs, 1000);
      return clock;
    }

    it('as a later one if the clock is behind one that was known when the call was sent', () => {
      const originOf = createReported().trackCall();
      expect(originOf(99_999)).to.equal('later');
    });

    it('as a later one if the clock is further than its own can be', () => {
      const clock = createReported();
      now = 2500;
      const originOf = clock.trackCall();
      now = 2504;
      expect(originOf(101_600)).to.equal('later');
    });

    it('as its own if the clock is further than that of any later one can be', () => {
      const clock = createReported();
      now = 2500;
      const originOf = clock.trackCall();
      now = 2504;
      expect(originOf(100_602)).to.equal('own');
    });

    it('as its own if the clock runs slow', () => {
      const clock = createReported();
      now = 2900;
      const originOf = clock.trackCall();
      expect(originOf(100_980)).to.equal('own');
    });

    it('as uncertain if a later one can have been up for as long', () => {
      const clock = createReported(700);
      now = 2500;
      const originOf = clock.trackCall();
      now = 2504;
      expect(originOf(1300)).to.equal('uncertain');
    });

    it('not as a later one if a later call has been answered before', () => {
      const clock = createReported();
      const originOf = clock.trackCall();
      now = 2500;
      clock.note(100_600);
      expect(originOf(100_001)).not.to.equal('later');
    });

    it('as uncertain before the first report', () => {
      const originOf = create().trackCall();
      expect(originOf(5)).to.equal('uncertain');
    });
  });
});
