/**
 * Tracks the distinct sizes of queued tasks and marks those that fit on no worker at present. In a
 * full cell, the mark saves a scan of all workers for most queued tasks.
 */
import type { Resources, WorkRequest } from '../model/index.js';
import { fitsOn, type WorkerView } from './placement.js';

/** One distinct size of queued tasks. */
export interface Shape {
  readonly size: Resources;
  /** Whether the size is known to fit on no worker. */
  blocked: boolean;
  queued: number;
}

export interface Shapes {
  /** Counts one more queued task of the size. */
  add(size: WorkRequest['size']): Shape;
  /** Counts one queued task less and forgets a size without queued tasks. */
  drop(shape: Shape): void;
  /** Marks a size that fits on no worker. */
  block(shape: Shape): void;
  /** Unmarks the sizes that fit on a worker whose free resources have grown. */
  unblockFitting(view: WorkerView): void;
}

export function createShapes(): Shapes {
  const shapes = new Map<string, Shape>();
  const blocked = new Set<Shape>();

  return {
    add: (size) => {
      const key = keyOf(size);
      const shape = shapes.get(key) ?? { size, blocked: false, queued: 0 };
      shapes.set(key, shape);
      shape.queued += 1;
      return shape;
    },
    drop: (shape) => {
      shape.queued -= 1;
      if (shape.queued > 0) return;
      shapes.delete(keyOf(shape.size));
      blocked.delete(shape);
    },
    block: (shape) => {
      shape.blocked = true;
      blocked.add(shape);
    },
    unblockFitting: (view) => {
      for (const shape of blocked) {
        if (!fitsOn(shape.size, view)) continue;
        shape.blocked = false;
        blocked.delete(shape);
      }
    },
  };
}

function keyOf({ processors, memoryMb, accelerators }: Resources): string {
  return `${String(processors)} ${String(memoryMb)} ${String(accelerators)}`;
}
