/**
 * Holds the operators' configuration that is in force on one host. One host per data centre watches
 * the store; all hosts poll it, and read it as well when no host is known to have read it recently.
 */
import { err, ok, ResultAsync } from 'neverthrow';
import type { TimedMembership } from '../hosts/index.js';
import type { Log } from '../log/index.js';
import type { Configuration, Host } from '../model/index.js';
import type { Store } from '../platform/index.js';
import {
  applyChange,
  type ApplyError,
  type CompileConfiguration,
  type ConfigurationChange,
} from './apply.js';
import { areKeysCurrent, newestContactAgeMs, type KeyFreshnessInput } from './key-freshness.js';
import type { ConfigurationRecord } from './record.js';
import { createStoreReader, type StoreReader } from './store-reader.js';

/** The configuration in force on this host. */
export interface ConfigurationHolder {
  current(): Configuration | undefined;
  /** The record in force, for peers that pull it. */
  record(): ConfigurationRecord | undefined;
  /** Adopts a record from a peer or the store if its revision is higher; returns whether it did. */
  adoptIfNewer(record: ConfigurationRecord): boolean;
  apply(change: ConfigurationChange): ResultAsync<Configuration, ApplyError>;
  /** Whether the keys in force are known to be current; see section 6.3 of the design page. */
  keysCurrent(): boolean;
  /**
   * Records that the configuration was read from the store `ageMs` ago and had `revision`; by
   * default the one in force. Other calls to the store do not count, because they do not show
   * whether the configuration has changed.
   */
  recordStoreContact(ageMs: number, revision?: number): void;
  /** Age of the latest read of the configuration by this host or a peer, for heartbeats. */
  storeContactAgeMs(): number;
  /** Whether this host's last call to the store succeeded, for heartbeats. */
  storeReachable(): boolean;
  onChange(listener: (configuration: Configuration) => void): void;
  /** Watches and polls until the signal is aborted. */
  start(signal: AbortSignal): Promise<void>;
}

export interface ConfigurationHolderOptions {
  readonly store: Store;
  readonly membership: TimedMembership;
  readonly host: Host;
  readonly now: () => number;
  readonly random?: () => number;
  readonly compile: CompileConfiguration;
  /** Maximum time for which a withdrawn key still works on a host without access to the store. */
  readonly keyStalenessMs?: number;
  /** Interval at which every host reads the configuration, whatever its peers report. */
  readonly pollMs?: number;
  readonly log: Log;
  /** Sends a revision that this host has found in the store to every linked peer. */
  readonly relay: (record: ConfigurationRecord) => void;
}

export const DEFAULT_KEY_STALENESS_MS = 5000;
const DEFAULT_POLL_MS = 30_000;

interface State {
  current: Configuration | undefined;
  /** Time of the latest read that showed no higher revision than the one in force. */
  lastContactAt: number | undefined;
  /** Highest revision whose text could not be compiled; it is reported once. */
  highestInvalidRevision: number;
  readonly listeners: ((configuration: Configuration) => void)[];
}

export function createConfigurationHolder(
  options: ConfigurationHolderOptions,
): ConfigurationHolder {
  const { store, compile, now } = options;
  const stalenessMs = options.keyStalenessMs ?? DEFAULT_KEY_STALENESS_MS;
  const state: State = {
    current: undefined,
    lastContactAt: undefined,
    highestInvalidRevision: 0,
    listeners: [],
  };

  function recordContact(at: number, revision: number): void {
    if (revision > (state.current?.revision ?? 0)) return;
    // After the clock stepped back, an earlier contact would seem to lie in the future.
    const known = state.lastContactAt !== undefined && state.lastContactAt <= now();
    state.lastContactAt = known ? Math.max(state.lastContactAt ?? at, at) : at;
  }

  /** The first revision after a start is not relayed, because peers already have it. */
  function adoptFromStore(record: ConfigurationRecord, readAt: number): void {
    const isUpdate = state.current !== undefined;
    if (adoptRecord(options, state, record) && isUpdate) options.relay(record);
    recordContact(readAt, record.revision);
  }

  function collectFreshnessInput(): KeyFreshnessInput {
    const contactAgeMs = state.lastContactAt === undefined ? Infinity : now() - state.lastContactAt;
    const revision = state.current?.revision ?? 0;
    const own = { contactAgeMs, reachable: reader.reachable(), revision };
    return { stalenessMs, own, others: collectPeerStatuses(options, reader) };
  }

  const reader: StoreReader = createStoreReader({
    ...options,
    random: options.random ?? Math.random,
    pollMs: options.pollMs ?? DEFAULT_POLL_MS,
    stalenessMs,
    contactAgeMs: () => newestContactAgeMs(collectFreshnessInput()),
    onRecord: adoptFromStore,
  });

  async function apply(change: ConfigurationChange) {
    const startedAt = now();
    const result = await applyChange(store, compile, change);
    if (result.isErr()) return err(result.error);
    const newest = toRecord(result.value.newest);
    if (adoptRecord(options, state, newest)) options.relay(newest);
    recordContact(startedAt, newest.revision);
    return ok(result.value.configuration);
  }

  return {
    current: () => state.current,
    record: () => state.current && toRecord(state.current),
    adoptIfNewer: (record) => adoptRecord(options, state, record),
    apply: (change) => new ResultAsync(apply(change)),
    keysCurrent: () => areKeysCurrent(collectFreshnessInput()),
    recordStoreContact: (ageMs, revision = state.current?.revision ?? 0) => {
      recordContact(now() - ageMs, revision);
    },
    storeContactAgeMs: () => newestContactAgeMs(collectFreshnessInput()),
    storeReachable: () => reader.reachable(),
    onChange: (listener) => state.listeners.push(listener),
    start: reader.run,
  };
}

/** Only a higher revision is adopted, so a host never returns to an older configuration. */
function adoptRecord(
  { compile, log }: ConfigurationHolderOptions,
  state: State,
  record: ConfigurationRecord,
): boolean {
  const { revision, changeId, text } = record;
  if (revision <= (state.current?.revision ?? 0)) return false;
  const compiled = compile(text, revision, changeId);
  if (compiled.isErr()) {
    const problem = compiled.error[0]?.problem;
    if (revision > state.highestInvalidRevision) {
      log.error('Cannot compile a revision of the configuration.', { revision, problem });
    }
    state.highestInvalidRevision = Math.max(state.highestInvalidRevision, revision);
    return false;
  }
  state.current = compiled.value;
  log.info('Adopted a revision of the configuration.', { revision, change: changeId });
  for (const listener of state.listeners) listener(compiled.value);
  return true;
}

/** The last reports of all other known hosts, including those known only from heartbeats. */
function collectPeerStatuses(
  { membership, host: self }: ConfigurationHolderOptions,
  reader: StoreReader,
): KeyFreshnessInput['others'] {
  const ids = new Set([...membership.hosts().map((host) => host.id), ...membership.live()]);
  ids.delete(self.id);
  return [...ids].map((id) => {
    const heartbeat = membership.heartbeat(id);
    const heartbeatAgeMs = membership.heartbeatAgeMs(id);
    if (heartbeat === undefined || heartbeatAgeMs === undefined) return undefined;
    if (!reader.isMessageAgeReliable(heartbeatAgeMs)) return undefined;
    return {
      heartbeatAgeMs,
      contactAgeMs: heartbeat.storeContactAgeMs,
      reachable: heartbeat.storeReachable,
      revision: heartbeat.revision,
    };
  });
}

function toRecord({ revision, changeId, text }: ConfigurationRecord): ConfigurationRecord {
  return { revision, changeId, text };
}
