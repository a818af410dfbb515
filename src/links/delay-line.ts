/**
 * Runs actions in the order in which they were added, each after its own delay but never before an
 * earlier one. Only test hooks delay messages. An action without a delay runs at once, unless earlier
 * ones are pending.
 */
export interface DelayLine {
  add(delayMs: number, action: () => void): void;
  /** Drops the pending actions. */
  clear(): void;
}

export function createDelayLine(): DelayLine {
  const waiting: { readonly due: number; readonly action: () => void }[] = [];
  let timer: NodeJS.Timeout | undefined;

  function runDue(): void {
    timer = undefined;
    while (waiting[0] !== undefined && waiting[0].due <= performance.now()) {
      waiting.shift()?.action();
    }
    schedule();
  }

  function schedule(): void {
    const next = waiting[0];
    if (next === undefined || timer !== undefined) return;
    timer = setTimeout(runDue, Math.ceil(next.due - performance.now()));
  }

  return {
    add: (delayMs, action) => {
      if (delayMs <= 0 && waiting.length === 0) {
        action();
        return;
      }
      waiting.push({ due: performance.now() + delayMs, action });
      schedule();
    },
    clear: () => {
      clearTimeout(timer);
      waiting.length = 0;
    },
  };
}
