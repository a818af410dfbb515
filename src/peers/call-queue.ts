/**
 * Bounds the forwarded calls that a leader works on at a time. Links take turns, and one that does not read its answers waits,
 * so no link takes the memory of the host or the time of the others. Calls that wait stay packed.
 */

export interface CallSource {
  /** Works on a call that has waited here for `waitedMs` until it is answered; must not reject. */
  run(data: Buffer, waitedMs: number): Promise<void>;
  /** Whether the link has taken its former answers. */
  isReading(): boolean;
  pause(): void;
  resume(): void;
}

export interface CallLine {
  /** Adds a call, and pauses its link while too many wait. */
  add(data: Buffer): void;
  /** Starts calls that have waited for the link to read. */
  readonly advance: () => void;
  /** Drops the calls that wait. */
  close(): void;
}

export interface CallQueue {
  open(source: CallSource): CallLine;
}

interface WaitingCall {
  readonly data: Buffer;
  /** Monotonic milliseconds. */
  readonly addedAt: number;
}

export interface CallQueueOptions {
  /** Calls of all links that are worked on at a time. */
  readonly maxRunning?: number;
  /** Waiting calls of one link beyond which it is not read. */
  readonly maxWaiting?: number;
}

/** Each takes up to some kilobytes and ends within the 600 ms that its sender waits. */
const MAX_RUNNING = 512;
const MAX_WAITING = 64;

export function createCallQueue(options: CallQueueOptions = {}): CallQueue {
  const { maxRunning = MAX_RUNNING, maxWaiting = MAX_WAITING } = options;
  /** Links with calls that wait, in the order of their turns. */
  const lines = new Map<CallSource, WaitingCall[]>();
  let running = 0;

  function start(source: CallSource, { data, addedAt }: WaitingCall) {
    running += 1;
    void source.run(data, performance.now() - addedAt).finally(() => {
      running -= 1;
      startNext();
    });
  }

  function startNext() {
    for (const [source, waiting] of lines) {
      if (running >= maxRunning) return;
      if (!source.isReading()) continue;
      const call = waiting.shift();
      lines.delete(source);
      if (waiting.length > 0) lines.set(source, waiting);
      if (waiting.length <= maxWaiting) source.resume();
      if (call !== undefined) start(source, call);
    }
  }

  return {
    open: (source) => ({
      add: (data) => {
        const waiting = lines.get(source) ?? [];
        waiting.push({ data, addedAt: performance.now() });
        lines.set(source, waiting);
        startNext();
        if (waiting.length > maxWaiting) source.pause();
      },
      advance: startNext,
      close: () => {
        lines.delete(source);
      },
    }),
  };
}
