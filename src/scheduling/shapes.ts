/**
 * Distinct task sizes and whether each of them fits on no worker at present. In a full cell, most
 * requests are passed over by this mark instead of by a scan of all workers.
 */
import type { Resources, WorkRequest } from '../model/index.js';
import { fitsOn, type WorkerView } from './placement.js';

/** One distinct size. */
export interface Shape {
  readonly size: Resources;
  /** Known to fit on no worker since the last change of any worker. */
  blocked: boolean;
  queued: number;
}

export interface Shapes {
  /** Counts one more queued task of the size. */
  add(size: WorkRequest['size']): Shape;
  drop(shape: Shape): void;
  block(shape: Shape): void;
  /** Lifts the marks of sizes that fit on a worker whose room has grown. */
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
