/**
 * Limits how many bodies in very small chunks a host reads at a time. Each chunk costs processor time however small it is, so a
 * crowd of such bodies would keep the host from its other work, while a single one is harmless.
 */
export interface FragmentedBodies {
  /** Takes a place for a body; returns the function that gives it back, or undefined if all are taken. */
  acquire(): (() => void) | undefined;
}

export interface FragmentedBodiesOptions {
  /** Bodies that are read at a time. */
  readonly places?: number;
  /** Milliseconds for which a place stays taken after its body. */
  readonly restMs?: number;
  /** Called when a body gets no place, after its chunks up to the limit were parsed. */
  readonly onRefused?: () => void;
  /** Monotonic milliseconds. */
  readonly now?: () => number;
}

/** Callers that send in this way are rare, and two bodies at a time leave most of the processor to the others. */
const PLACES = 2;
/** A body of 262,144 chunks of one byte takes half a second of a full core. */
const REST_MS = 3000;

export function createFragmentedBodies(options: FragmentedBodiesOptions = {}): FragmentedBodies {
  const { places = PLACES, restMs = REST_MS, now = () => performance.now() } = options;
  const { onRefused = () => undefined } = options;
  let reading = 0;
  let restingUntil: number[] = [];

  return {
    acquire: () => {
      restingUntil = restingUntil.filter((until) => until > now());
      if (reading + restingUntil.length >= places) {
        onRefused();
        return undefined;
      }
      reading += 1;
      let isHeld = true;
      return () => {
        if (!isHeld) return;
        isHeld = false;
        reading -= 1;
        restingUntil.push(now() + restMs);
      };
    },
  };
}
