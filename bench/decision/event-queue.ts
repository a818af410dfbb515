/**
 * A priority queue of events in virtual time, implemented as a binary heap.
 */
export interface EventQueue<T> {
  add(at: number, value: T): void;
  /** Time of the next event, or Infinity if there is none. */
  nextTime(): number;
  /** Removes and returns all events up to and including `upTo`, in order of time. */
  takeUntil(upTo: number): readonly T[];
}

interface Event<T> {
  readonly at: number;
  readonly value: T;
}

export function createEventQueue<T>(): EventQueue<T> {
  const heap: Event<T>[] = [];
  const timeAt = (index: number) => heap[index]?.at ?? Infinity;

  function swap(left: number, right: number) {
    const [a, b] = [heap[left], heap[right]];
    if (!a || !b) return;
    heap[left] = b;
    heap[right] = a;
  }

  function pop(): Event<T> | undefined {
    swap(0, heap.length - 1);
    const event = heap.pop();
    for (let index = 0; ;) {
      const left = 2 * index + 1;
      const child = timeAt(left + 1) < timeAt(left) ? left + 1 : left;
      if (timeAt(child) >= timeAt(index)) return event;
      swap(index, child);
      index = child;
    }
  }

  return {
    add: (at, value) => {
      heap.push({ at, value });
      let index = heap.length - 1;
      while (index > 0) {
        const parent = (index - 1) >> 1;
        if (timeAt(parent) <= at) break;
        swap(index, parent);
        index = parent;
      }
    },
    nextTime: () => timeAt(0),
    takeUntil: (upTo) => {
      const due: T[] = [];
      while (timeAt(0) <= upTo) {
        const event = pop();
        if (event) due.push(event.value);
      }
      return due;
    },
  };
}
