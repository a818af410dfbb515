/**
 * Configuration holders for tests, which pass the store and exchange the heartbeats themselves.
 */
import { EventEmitter } from 'node:events';
import { err, ok } from 'neverthrow';
import {
  createConfigurationHolder,
  type CompileConfiguration,
  type ConfigurationRecord,
} from '../../src/configuration/index.js';
import { createMembership } from '../../src/hosts/index.js';
import { SILENT_LOG } from '../../src/log/index.js';
import { NO_RESOURCES, type Host } from '../../src/model/index.js';
import type { Store } from '../../src/platform/index.js';

/** Accepts every text except `bad`. */
export const compile: CompileConfiguration = (text, revision, changeId) =>
  text === 'bad'
    ? err([{ file: 'f', line: 1, column: 1, problem: 'is bad', fix: 'make it good' }])
    : ok({ revision, changeId, text, entries: new Map(), teams: new Map(), keys: [] });

export function createHost(id: string): Host {
  return { id, dataCentre: 'dc1', url: '', linkUrl: '', state: 'live' };
}

export interface HolderFixtureOptions {
  readonly now?: () => number;
  readonly keyStalenessMs?: number;
}

export function createHolder(id: string, store: Store, options: HolderFixtureOptions = {}) {
  const now = options.now ?? Date.now;
  const host = createHost(id);
  const membership = createMembership({ host, peers: [], now });
  const relayed: ConfigurationRecord[] = [];
  const holder = createConfigurationHolder({
    store,
    membership,
    host,
    now,
    compile,
    log: SILENT_LOG,
    relay: (record) => relayed.push(record),
    ...options,
  });
  const createHeartbeat = () => ({
    host: id,
    dataCentre: 'dc1',
    bootId: id,
    state: 'live' as const,
    revision: holder.current()?.revision ?? 0,
    storeContactAgeMs: holder.storeContactAgeMs(),
    storeReachable: holder.storeReachable(),
    load: {
      freeSlots: 0,
      free: NO_RESOURCES,
      largestFree: NO_RESOURCES,
      capacity: NO_RESOURCES,
      queued: { interactive: 0, batch: 0, gang: 0, service: 0 },
      waitMs: 0,
      teams: {},
    },
  });
  const changes = new EventEmitter();
  holder.onChange(() => changes.emit('change'));
  return { holder, membership, relayed, createHeartbeat, changes };
}
