/**
 * Applies an operator's change to the configuration in the store by compare-and-swap.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Finding } from '../catalogue/index.js';
import type { Configuration } from '../model/index.js';
import type { Store } from '../platform/index.js';
import {
  CONFIGURATION_KEY,
  decodeStored,
  encodeNextRevision,
  MAX_RECORD_BYTES,
  type StoredConfiguration,
} from './record.js';

/** Checks a text and builds the configuration from it. */
export type CompileConfiguration = (
  text: string,
  revision: number,
  changeId: string,
) => Result<Configuration, readonly Finding[]>;

/** A change of the whole text, based on the revision that the operator has seen. */
export interface ConfigurationChange {
  readonly text: string;
  readonly baseRevision: number;
  /** Chosen by the operator's command; the same for all its repetitions. */
  readonly changeId: string;
}

export type ApplyError =
  | { readonly kind: 'conflict'; readonly revision: number }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] }
  | { readonly kind: 'unavailable' | 'in-doubt'; readonly detail: string };

/** The change took effect as `configuration`; `newest` may have followed it already. */
export interface AppliedChange {
  readonly configuration: Configuration;
  readonly newest: StoredConfiguration;
}

/** Attempts to settle a write whose answer was lost. */
const MAX_ATTEMPTS = 4;

export async function applyChange(
  store: Store,
  compile: CompileConfiguration,
  change: ConfigurationChange,
): Promise<Result<AppliedChange, ApplyError>> {
  const compiled = compile(change.text, change.baseRevision + 1, change.changeId);
  if (compiled.isErr()) return err({ kind: 'invalid', findings: compiled.error });
  let doubt: string | undefined;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const found = await store.get(CONFIGURATION_KEY);
    if (found.isErr()) return err(describeFailure(found.error.detail, doubt));
    const stored = decodeStored(found.value);
    if (stored.isErr()) return err(describeFailure(stored.error, doubt));
    const applied = findApplied(compile, stored.value, change);
    if (applied !== undefined) return ok(applied);
    if (stored.value.revision !== change.baseRevision) {
      return err({ kind: 'conflict', revision: stored.value.revision });
    }
    const record = { ...change, revision: change.baseRevision + 1 };
    const value = encodeNextRevision(stored.value, toRecord(record));
    if (Buffer.byteLength(value) > MAX_RECORD_BYTES) return err(tooLarge(value));
    const version = found.value?.version ?? 0;
    // If an earlier write of this change is still under way, at most one of both takes effect,
    // because both expect the same version.
    const written = await store.compareAndSwap(CONFIGURATION_KEY, version, value);
    if (written.isOk()) {
      return ok({
        configuration: compiled.value,
        newest: JSON.parse(value) as StoredConfiguration,
      });
    }
    if (written.error.kind === 'unavailable') {
      return err(describeFailure(written.error.detail, doubt));
    }
    if (written.error.kind === 'in-doubt') doubt = written.error.detail;
  }
  return err(describeFailure('The store kept answering with conflicts.', doubt));
}

function toRecord(record: ConfigurationChange & { readonly revision: number }) {
  return { revision: record.revision, changeId: record.changeId, text: record.text };
}

/** The change if the store shows that it has taken effect. */
function findApplied(
  compile: CompileConfiguration,
  stored: StoredConfiguration,
  change: ConfigurationChange,
): AppliedChange | undefined {
  const own = [...stored.recent, stored].find(({ changeId }) => changeId === change.changeId);
  if (own === undefined) return undefined;
  const configuration = compile(change.text, own.revision, change.changeId);
  return configuration.isOk() ? { configuration: configuration.value, newest: stored } : undefined;
}

/** A failure after a write in doubt leaves the whole change in doubt. */
function describeFailure(detail: string, doubt: string | undefined): ApplyError {
  return doubt === undefined
    ? { kind: 'unavailable', detail }
    : { kind: 'in-doubt', detail: `${doubt} Apply the same change again to find out.` };
}

function tooLarge(value: string): ApplyError {
  const finding: Finding = {
    file: CONFIGURATION_KEY,
    line: 1,
    column: 1,
    problem: `The configuration needs ${String(Buffer.byteLength(value))} bytes in the store, more than ${String(MAX_RECORD_BYTES)}.`,
    fix: 'Remove entries, teams or keys that are no longer used.',
  };
  return { kind: 'invalid', findings: [finding] };
}
