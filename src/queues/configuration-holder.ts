/**
 * Holds the active configuration of this host. Only a configuration with a higher store revision replaces it,
 * so that a late or stale read cannot undo a change.
 */
import type { EventLog } from '../observability/index.js';
import type { CellConfiguration } from './configuration.js';

/** A configuration with the store revision at which it was read. */
export interface ActiveConfiguration {
  readonly configuration: CellConfiguration;
  readonly revision: number;
}

/** How a host has learned of a configuration. `conflict`: from a write that a change has prevented. */
export type ConfigurationSource = 'read' | 'listing' | 'watch' | 'conflict';

export interface ConfigurationHolder {
  readonly current: ActiveConfiguration | undefined;
  /** Activates the candidate if its revision is higher than that of the active configuration. */
  adoptIfNewer(candidate: ActiveConfiguration, source: ConfigurationSource): void;
  onChange(listener: (current: ActiveConfiguration) => void): void;
}

export function createConfigurationHolder(options: { events: EventLog }): ConfigurationHolder {
  const listeners: ((current: ActiveConfiguration) => void)[] = [];
  let current: ActiveConfiguration | undefined;
  return {
    get current() {
      return current;
    },
    adoptIfNewer: (candidate, source) => {
      if (current !== undefined && candidate.revision <= current.revision) return;
      options.events.info('configuration-adopted', {
        version: candidate.configuration.version,
        revision: candidate.revision,
        source,
        previousVersion: current?.configuration.version,
        queues: candidate.configuration.queues.length,
        teams: candidate.configuration.teams.length,
      });
      current = candidate;
      for (const listener of listeners) listener(candidate);
    },
    onChange: (listener) => {
      listeners.push(listener);
    },
  };
}
