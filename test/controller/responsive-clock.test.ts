/** Guards against a leader that takes its own delay for the silence of workers. */
import { expect } from 'chai';
import { createResponsiveClock } from '../../src/controller/responsive-clock.js';

describe('createResponsiveClock', () => {
  it('advances while the process is responsive', async () => {
    const clock = createResponsiveClock();
    const startedAt = clock.now();
    await new Promise((resolve) => setTimeout(resolve, 300));
    // Timers of a busy machine may be late, which the clock leaves out.
    expect(clock.now() - startedAt).to.be.within(50, 310);
    clock.stop();
  });

  it('stands still while the process is paused or its event loop is blocked', () => {
    let now = 0;
    const clock = createResponsiveClock({ monotonicNow: () => now });
    now = 5000;
    expect(clock.now()).to.be.lessThan(50);
    clock.stop();
  });
});
