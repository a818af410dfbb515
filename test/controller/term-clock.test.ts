/**
 * Guards against clocks that jump by seconds: with the time of day, a step of the leader's clock or of the clock of the
 * host that accepted a job makes sound work count as late, which then waits behind all other work.
 */
import { expect } from 'chai';
import { acceptedOnTermClock, createTermClock } from '../../src/controller/term-clock.js';

describe('the clock of a leader', () => {
  describe('while its time of day steps', () => {
    it('goes on with the monotonic clock', () => {
      let timeOfDay = 1_000_000;
      let monotonic = 50;
      const clock = createTermClock({ timeOfDay: () => timeOfDay, monotonic: () => monotonic });
      expect(clock()).to.equal(1_000_000);
      monotonic += 20;
      timeOfDay += 4000;
      expect(clock()).to.equal(1_000_020);
      timeOfDay -= 9000;
      expect(clock()).to.equal(1_000_020);
    });
  });
});

describe('the time at which a job was accepted', () => {
  const nowMs = 500_000;

  describe('by a host whose time of day is wrong', () => {
    it('follows from the age that the host announces', () => {
      for (const skewMs of [-4000, 0, 4000]) {
        const job = { acceptedAtMs: nowMs - 30 + skewMs };
        expect(acceptedOnTermClock(job, { nowMs, ageMs: 30 })).to.equal(nowMs - 30);
      }
    });

    it('is not in the future if the time of day stepped back while the host accepted the job', () => {
      expect(acceptedOnTermClock({ acceptedAtMs: 0 }, { nowMs, ageMs: -2500 })).to.equal(nowMs);
    });
  });

  describe('of a job that is read from the store', () => {
    it('is that of its record, and not in the future', () => {
      const read = (acceptedAtMs: number) =>
        acceptedOnTermClock({ acceptedAtMs }, { nowMs, ageMs: undefined });
      expect(read(nowMs - 7000)).to.equal(nowMs - 7000);
      expect(read(nowMs + 2500)).to.equal(nowMs);
    });
  });
});
