/**
 * Partitions, one-way links and slow links between entry hosts, for failure tests. The filter is
 * installed only if the settings allow fault injection.
 */
import type { Direction, LinkFilter } from '../links/index.js';

/** A fault of the links to one peer: drop messages, or delay them by milliseconds. */
export interface LinkFault {
  readonly peer: string;
  readonly direction: Direction | 'both';
  readonly effect: 'drop' | number;
}

export interface LinkFaultInjector {
  /** Replaces all faults. */
  set(faults: readonly LinkFault[]): void;
  readonly filterLink: LinkFilter;
}

export function createLinkFaultInjector(): LinkFaultInjector {
  let faults: readonly LinkFault[] = [];
  return {
    set: (next) => {
      faults = next;
    },
    filterLink: (direction, host) =>
      faults.find(
        (fault) =>
          fault.peer === host && (fault.direction === 'both' || fault.direction === direction),
      )?.effect ?? 'pass',
  };
}
