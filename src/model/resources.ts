/**
 * Resource vectors. Processors, memory and accelerators are always checked together, because a
 * worker that lacks any of them cannot run the task.
 */

/** Amounts of the resources that limit how many tasks a worker can run. */
export interface Resources {
  /** Processor cores; fractions are allowed. */
  readonly processors: number;
  /** Memory in mebibytes. */
  readonly memoryMb: number;
  /** Whole accelerators. */
  readonly accelerators: number;
}

/** The zero vector. */
export const NO_RESOURCES: Resources = { processors: 0, memoryMb: 0, accelerators: 0 };

/** Absorbs rounding errors from repeated additions and subtractions of fractional cores. */
export const ROUNDING_TOLERANCE = 1e-9;

export function addResources(left: Resources, right: Resources): Resources {
  return {
    processors: left.processors + right.processors,
    memoryMb: left.memoryMb + right.memoryMb,
    accelerators: left.accelerators + right.accelerators,
  };
}

export function subtractResources(left: Resources, right: Resources): Resources {
  return {
    processors: left.processors - right.processors,
    memoryMb: left.memoryMb - right.memoryMb,
    accelerators: left.accelerators - right.accelerators,
  };
}

const THOUSANDTHS = 1000;

/**
 * Adds the size of `count` tasks, or subtracts it if `count` is negative, in whole thousandths of a core. Sums of sizes
 * in thousandths are then exact whatever their order, and may be compared with a limit without tolerance.
 */
export function addTasks(used: Resources, size: Resources, count: number): Resources {
  const processors = used.processors + size.processors * count;
  return {
    processors: Math.round(processors * THOUSANDTHS) / THOUSANDTHS,
    memoryMb: used.memoryMb + size.memoryMb * count,
    accelerators: used.accelerators + size.accelerators * count,
  };
}

/** Whether a limit bounds no resource; 0 stands for no bound. */
export function isUnlimited({ processors, memoryMb, accelerators }: Resources): boolean {
  return processors === 0 && memoryMb === 0 && accelerators === 0;
}

/** Component-wise maximum of both vectors. */
export function maxResources(left: Resources, right: Resources): Resources {
  return {
    processors: Math.max(left.processors, right.processors),
    memoryMb: Math.max(left.memoryMb, right.memoryMb),
    accelerators: Math.max(left.accelerators, right.accelerators),
  };
}

/** Whether `wanted` fits into `free` in every resource. */
export function fitsWithin(wanted: Resources, free: Resources): boolean {
  return (
    wanted.processors <= free.processors + ROUNDING_TOLERANCE &&
    wanted.memoryMb <= free.memoryMb + ROUNDING_TOLERANCE &&
    wanted.accelerators <= free.accelerators + ROUNDING_TOLERANCE
  );
}

/** The largest fraction of any resource in `total` that `used` takes; 0 for a zero total. */
export function dominantShare(used: Resources, total: Resources): number {
  return Math.max(
    fraction(used.processors, total.processors),
    fraction(used.memoryMb, total.memoryMb),
    fraction(used.accelerators, total.accelerators),
  );
}

function fraction(part: number, whole: number): number {
  return whole > 0 ? part / whole : 0;
}
