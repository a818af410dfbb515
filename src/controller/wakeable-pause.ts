/**
 * A pause that another part of the program can end early.
 */
import { pause } from '../records/index.js';

export interface WakeablePause {
  /** Resolves after the time, or once the pause is ended. */
  readonly wait: (ms: number) => Promise<void>;
  /** Ends the present pause, if there is one. */
  readonly wake: () => void;
}

export function createWakeablePause(): WakeablePause {
  let wake: () => void = () => undefined;
  return {
    wait: async (ms) => {
      const woken = new Promise<void>((resolve) => {
        wake = resolve;
      });
      await Promise.race([pause(ms), woken]);
    },
    wake: () => {
      wake();
    },
  };
}
