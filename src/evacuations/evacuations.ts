/**
 * The set of data centres that operators evacuate, from listings and changes of the keys with which they ask for it. A
 * data centre is evacuated while its key exists, whatever the value of the key is. Its workers get no new work then; what
 * runs on them goes on.
 *
 * The set says nothing about its age. Whoever sends work has to bound the age of what it rests on.
 */
import type { StoreChange, StoreEntry } from '../records/index.js';

/** Where evacuations are requested, and how soon they must be in force. */
export interface EvacuationSource {
  /** Prefix of the keys, which the name of a data centre follows. */
  readonly prefix: string;
  /** Time after an acknowledged request from which no task may be started in the data centre, in milliseconds. */
  readonly withinMs: number;
}

export interface Evacuation {
  readonly dataCentre: string;
  /** Revision at which the key was last written. */
  readonly revision: number;
  /** When this host learned of the evacuation, in monotonic milliseconds. */
  readonly since: number;
}

export interface Evacuations {
  readonly isEvacuated: (dataCentre: string) => boolean;
  /** The evacuations in force, sorted by the name of the data centre. */
  readonly all: () => readonly Evacuation[];
  /** Applies the complete content; data centres that are missing are no longer evacuated. */
  readonly applyListing: (entries: readonly StoreEntry[]) => void;
  readonly applyChange: (change: StoreChange) => void;
}

export interface EvacuationsOptions {
  readonly prefix: string;
  readonly onBegun?: (evacuation: Evacuation) => void;
  readonly onEnded?: (evacuation: Evacuation) => void;
  /** Monotonic milliseconds. */
  readonly now?: () => number;
}

export function createEvacuations(options: EvacuationsOptions): Evacuations {
  const {
    prefix,
    onBegun = () => undefined,
    onEnded = () => undefined,
    now = () => performance.now(),
  } = options;
  const evacuated = new Map<string, Evacuation>();
  const dataCentreOf = (key: string) => key.slice(prefix.length);

  function put(dataCentre: string, revision: number) {
    const known = evacuated.get(dataCentre);
    const evacuation = { dataCentre, revision, since: known?.since ?? now() };
    evacuated.set(dataCentre, evacuation);
    if (known === undefined) onBegun(evacuation);
  }

  function remove(dataCentre: string) {
    const known = evacuated.get(dataCentre);
    evacuated.delete(dataCentre);
    if (known !== undefined) onEnded(known);
  }

  return {
    isEvacuated: (dataCentre) => evacuated.has(dataCentre),
    all: () =>
      [...evacuated.values()].sort((left, right) => (left.dataCentre < right.dataCentre ? -1 : 1)),
    applyListing: (entries) => {
      const listed = new Set(entries.map(({ key }) => dataCentreOf(key)));
      for (const { key, revision } of entries) put(dataCentreOf(key), revision);
      for (const dataCentre of [...evacuated.keys()]) {
        if (!listed.has(dataCentre)) remove(dataCentre);
      }
    },
    applyChange: ({ key, value, revision }) => {
      const dataCentre = dataCentreOf(key);
      // A change that a watch delivers again must not undo a later one.
      if (revision < (evacuated.get(dataCentre)?.revision ?? 0)) return;
      if (value === undefined) remove(dataCentre);
      else put(dataCentre, revision);
    },
  };
}
