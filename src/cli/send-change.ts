/**
 * Changing the configuration from the command line. A change whose answer was lost is read back by
 * its change id and sent again; both are safe, because the change names the revision it replaces.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Finding } from '../catalogue/index.js';
import type { RolloutRow } from '../operators/index.js';
import type { ChangeRequest, OperatorClient } from './operator-client.js';

export interface ChangeTiming {
  /** Longest time to settle a change whose answer was lost, and then for the hosts to adopt it. */
  readonly timeoutMs: number;
  readonly pollMs: number;
}

/** What became of a change. */
export type ChangeResult =
  | { readonly kind: 'applied'; readonly revision: number; readonly hosts: readonly RolloutRow[] }
  | { readonly kind: 'conflict'; readonly revision: number | undefined }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] }
  | { readonly kind: 'refused' | 'unreachable' | 'unknown'; readonly detail: string };

/** Sends a change until its result is certain or the time is over. */
export async function sendChange(
  client: OperatorClient,
  change: ChangeRequest,
  timing: ChangeTiming,
): Promise<ChangeResult> {
  const deadline = performance.now() + timing.timeoutMs;
  const first = await client.change(change);
  if (first.kind !== 'in-doubt') return first;
  let { detail } = first;
  while (performance.now() < deadline) {
    const found = await readBack(client, change);
    if (found !== undefined) return found;
    await sleep(timing.pollMs);
    const repeated = await client.change(change);
    if (repeated.kind === 'applied') return repeated;
    // A conflict may be with the first attempt, and any other failure says nothing about it.
    if ('detail' in repeated) detail = repeated.detail;
  }
  return (await readBack(client, change)) ?? { kind: 'unknown', detail };
}

/** Finds out whether a change took effect; undefined while that is open. */
async function readBack(
  client: OperatorClient,
  change: ChangeRequest,
): Promise<ChangeResult | undefined> {
  const read = await client.configuration();
  if (read.isErr()) return undefined;
  const { revision, changeId } = read.value;
  if (changeId === change.changeId) return { kind: 'applied', revision, hosts: [] };
  if (revision <= change.baseRevision) return undefined;
  // The change can only have become the next revision; a later one hides which change that was.
  if (revision === change.baseRevision + 1) return { kind: 'conflict', revision };
  const detail = `revision ${String(revision)} has replaced the one that the change may have become`;
  return { kind: 'unknown', detail };
}

/** Waits until every reachable host runs the revision or the time is over. */
export async function waitForRollout(
  client: OperatorClient,
  revision: number,
  known: readonly RolloutRow[],
  timing: ChangeTiming,
): Promise<readonly RolloutRow[]> {
  const deadline = performance.now() + timing.timeoutMs;
  let hosts = known;
  while (!isRolledOut(hosts, revision) && performance.now() < deadline) {
    const read = await client.rollout(revision);
    hosts = read.unwrapOr(hosts);
    if (!isRolledOut(hosts, revision)) await sleep(timing.pollMs);
  }
  return hosts;
}

function isRolledOut(hosts: readonly RolloutRow[], revision: number): boolean {
  return hosts.length > 0 && hosts.every((host) => !host.reachable || host.revision >= revision);
}
