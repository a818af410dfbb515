/**
 * Escrow of upper limits. Each owner (host and boot) has a part of every team's limit and starts
 * tasks within it without coordination. Parts move between owners through one record per team in
 * the store.
 */
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { SILENT_LOG, type Log } from '../log/index.js';
import type { Team } from '../model/index.js';
import { updateRecord, type Store, type StoreError } from '../platform/index.js';
import { applyPlan, LOW_WATER_SHARE, TAKE_SHARE, startPlan } from './plan.js';
import { isReferenced, parseAllotmentRecord, removeOwner } from './record.js';
import {
  available,
  confirm,
  createTeamState,
  pendingOf,
  trimAdoption,
  type TeamState,
} from './state.js';

export interface Allotments {
  /** Charges one task to the local part; false if the part is used up. */
  acquire(team: string): boolean;
  /**
   * Releases the charge of one task that has certainly ended, even if another host has taken over
   * its worker. `chargedTo` is the owner that it was adopted from, by default this one.
   */
  release(team: string, chargedTo?: string): void;
  /** Number of tasks that may start now. */
  spare(team: string): number;
  /** Teams for which this owner has requested parts from other owners. */
  wantedTeams(): readonly string[];
  /**
   * Records that another owner has requested parts; the next `rebalance` returns unused ones even
   * if the record is not due to be read.
   */
  noteWanted(team: string): void;
  /** Moves parts by compare-and-swap ahead of demand. Call periodically. */
  rebalance(): Promise<void>;
  /**
   * Takes over the charges of tasks found on a worker, by team. Call once per worker that was taken
   * over; after a failure, `rebalance` retries the move and `settled` reports its completion.
   */
  adopt(from: string, tasks: ReadonlyMap<string, number>): ResultAsync<void, StoreError>;
  /** Whether all charges adopted from the owner are in the record. */
  settled(from: string): boolean;
  /**
   * Frees the remaining parts of an owner. Call only once no claim names the owner and all
   * adoptions from it are settled. A host that was released while it was paused must continue under
   * a new owner name, because it may not have read that it lost its parts.
   */
  releaseOwner(from: string): ResultAsync<void, StoreError>;
  /** Stops starts until the records are read again: this owner's parts may have been freed. */
  invalidate(): void;
  /** Sets the limits in force; ignored for teams with a limit of a higher revision. */
  setLimits(teams: ReadonlyMap<string, Team>, revision: number): void;
  /** Stops all starts and returns all unused parts; later calls of `rebalance` return the rest. */
  drain(): Promise<void>;
}

export interface AllotmentsOptions {
  readonly store: Store;
  /** Host id and boot id. */
  readonly owner: string;
  readonly now: () => number;
  readonly log?: Log;
  /** Age after which a record is read again, to return unused parts that other owners request. */
  readonly maxRecordAgeMs?: number;
  /** Called when a team's part is used up, at most once a second per team; may call `rebalance`. */
  readonly onShortage?: (team: string) => void;
}

const KEY_PREFIX = 'allotments/';
/** Conflicts are frequent when a cell starts, because all hosts write the same records. */
const WRITE_ATTEMPTS = 20;
/**
 * At most 16 owners of a team have a large unused part, so that 74 teams cost at most 80 reads a
 * second in the whole fleet at this interval.
 */
const DEFAULT_MAX_RECORD_AGE_MS = 15_000;
const LARGE_UNUSED_SHARE = 1 / 16;
/** Owners with a small unused part read the record less often by this factor. */
const SMALL_UNUSED_AGE_FACTOR = 4;
const SHORTAGE_INTERVAL_MS = 1_000;
/** The second round moves what was adopted while a write in doubt was repeated unchanged. */
const ADOPTION_ROUNDS = 2;

export function createAllotments(options: AllotmentsOptions): Allotments {
  const {
    store,
    owner,
    now,
    log = SILENT_LOG,
    maxRecordAgeMs = DEFAULT_MAX_RECORD_AGE_MS,
  } = options;
  const states = new Map<string, TeamState>();
  const shortageReportedAt = new Map<string, number>();
  const wanted = new Set<string>();
  let draining = false;
  let writes = 0;
  let lastOperation: Promise<unknown> = Promise.resolve();

  function stateOf(team: string): TeamState {
    const state = states.get(team) ?? createTeamState(team);
    states.set(team, state);
    return state;
  }

  /** Runs store operations one at a time, because two plans must not be applied concurrently. */
  function runExclusive<T>(operation: () => Promise<T>): Promise<T> {
    const result = lastOperation.then(operation);
    lastOperation = result.catch(() => undefined);
    return result;
  }

  function update(state: TeamState): ResultAsync<void, StoreError> {
    writes += 1;
    const { invalidations } = state;
    const repeated = state.plan !== undefined;
    const plan = state.plan ?? startPlan(state, writes);
    let attempts = 0;
    return updateRecord(store, {
      key: KEY_PREFIX + state.team,
      parse: parseAllotmentRecord,
      maxAttempts: WRITE_ATTEMPTS,
      change: (current) => {
        attempts += 1;
        const forced = repeated || attempts > 1;
        return applyPlan(current, { state, plan, owner, draining, forced });
      },
    })
      .map((record) => {
        const known = record ?? { limit: 0, revision: -1, parts: {} };
        confirm(state, { record: known, plan, owner, now: now() });
        state.confirmedInvalidations = invalidations;
      })
      .mapErr((error) => {
        // The task that did not get an allotment is still waiting.
        if (!state.plan && plan.shortage) state.shortage = true;
        return error;
      });
  }

  function needsUpdate(state: TeamState): boolean {
    const unused = available(state);
    const unread = state.readAt === -Infinity;
    const low = state.confirmedPart > 0 && unused < state.confirmedPart * LOW_WATER_SHARE;
    const isLarge = unused >= state.limit * LARGE_UNUSED_SHARE;
    const due = now() - state.readAt >= maxRecordAgeMs * (isLarge ? 1 : SMALL_UNUSED_AGE_FACTOR);
    const changed = state.limit !== state.limitInRecord && !(unread && state.limit === 0);
    return (
      state.plan !== undefined ||
      state.confirmedInvalidations < state.invalidations ||
      state.shortage ||
      state.wantsMore ||
      (wanted.has(state.team) && unused > 0) ||
      changed ||
      state.maxSumOfParts > state.limit ||
      [...state.adoptions.values()].some((adoption) => {
        return !adoption.acknowledged || pendingOf(adoption) > 0;
      }) ||
      (draining && state.confirmedPart > 0) ||
      (low && (state.spareInRecord * TAKE_SHARE >= 1 || due)) ||
      (due && (unused > 0 || state.used > 0))
    );
  }

  async function rebalanceTeams(): Promise<void> {
    for (const state of states.values()) {
      if (!needsUpdate(state)) continue;
      wanted.delete(state.team);
      const result = await update(state);
      if (result.isOk()) continue;
      const { kind, detail } = result.error;
      log.warn(`Allotments of ${state.team} were not rebalanced: ${detail}.`, { kind });
      if (kind === 'unavailable') return;
    }
  }

  async function moveAdopted(from: string): Promise<StoreError | undefined> {
    for (let round = 0; round < ADOPTION_ROUNDS; round += 1) {
      for (const state of states.values()) {
        if (isSettled(state, from)) continue;
        const result = await update(state);
        if (result.isErr()) return result.error;
      }
    }
    return undefined;
  }

  async function removeFromRecords(from: string): Promise<StoreError | undefined> {
    const found = await store.list(KEY_PREFIX);
    if (found.isErr()) return found.error;
    for (const [key, { value }] of found.value) {
      if (!value.includes(JSON.stringify(from))) continue;
      const result = await updateRecord(store, {
        key,
        parse: parseAllotmentRecord,
        maxAttempts: WRITE_ATTEMPTS,
        change: (record) =>
          record && isReferenced(record, from) ? removeOwner(record, from) : undefined,
      });
      if (result.isErr()) return result.error;
    }
    return undefined;
  }

  function acquire(team: string): boolean {
    const state = states.get(team);
    if (!state || draining) return false;
    if (available(state) > 0) {
      state.used += 1;
      return true;
    }
    state.shortage = true;
    const reportedAt = shortageReportedAt.get(team) ?? -Infinity;
    if (options.onShortage && now() - reportedAt >= SHORTAGE_INTERVAL_MS) {
      shortageReportedAt.set(team, now());
      options.onShortage(team);
    }
    return false;
  }

  function release(team: string, chargedTo = owner) {
    const state = stateOf(team);
    if (chargedTo === owner) {
      state.used = Math.max(0, state.used - 1);
      return;
    }
    const adoption = findAdoption(state, chargedTo);
    if (!adoption) return;
    adoption.running -= 1;
    trimAdoption(adoption);
  }

  function setLimit(team: string, limit: number, revision: number) {
    const state = stateOf(team);
    if (revision < state.revision) return;
    state.maxSumOfParts = Math.max(state.maxSumOfParts, state.limit, limit);
    state.limit = limit;
    state.revision = revision;
  }

  return {
    acquire,
    release,
    spare: (team) => {
      const state = states.get(team);
      return state && !draining ? available(state) : 0;
    },
    wantedTeams: () =>
      [...states.values()].filter((state) => state.wantsMore).map(({ team }) => team),
    noteWanted: (team) => {
      wanted.add(team);
    },
    rebalance: () => runExclusive(rebalanceTeams),
    adopt: (from, tasks) => {
      for (const [team, running] of tasks) {
        if (running > 0) addAdopted(stateOf(team), from, running);
      }
      return toResult(runExclusive(() => moveAdopted(from)));
    },
    settled: (from) => [...states.values()].every((state) => isSettled(state, from)),
    releaseOwner: (from) => toResult(runExclusive(() => removeFromRecords(from))),
    invalidate: () => {
      for (const state of states.values()) state.invalidations += 1;
    },
    setLimits: (teams, revision) => {
      for (const team of states.keys()) if (!teams.has(team)) setLimit(team, 0, revision);
      for (const { name, limit } of teams.values()) setLimit(name, limit, revision);
    },
    drain: () => {
      draining = true;
      return runExclusive(rebalanceTeams);
    },
  };
}

function addAdopted(state: TeamState, from: string, running: number) {
  const none = { running: 0, moved: 0, uncovered: 0, acknowledged: false };
  const adoption = state.adoptions.get(from) ?? none;
  adoption.running += running;
  state.adoptions.set(from, adoption);
}

function isSettled(state: TeamState, from: string): boolean {
  const adoption = state.adoptions.get(from);
  return (!adoption || pendingOf(adoption) === 0) && !state.plan?.moves.has(from);
}

/**
 * Finds the adoption that an ended task reduces. The charges of one team are interchangeable.
 * Without an adoption from that owner, an unacknowledged one is preferred, because reducing it frees
 * nothing before the former owner has acknowledged the move.
 */
function findAdoption(state: TeamState, from: string) {
  const match = state.adoptions.get(from);
  if (match && match.running > 0) return match;
  const others = [...state.adoptions.values()].filter(({ running }) => running > 0);
  return others.find(({ acknowledged }) => !acknowledged) ?? others[0];
}

function toResult(outcome: Promise<StoreError | undefined>): ResultAsync<void, StoreError> {
  return ResultAsync.fromSafePromise(outcome).andThen((error) =>
    error ? errAsync(error) : okAsync(),
  );
}
