/**
 * Sends configuration changes and waits for their rollout. If the response to a change is lost, the
 * active configuration is read to look for the change id, and the change is sent again if it is not
 * there. Sending it twice is safe, because the change names the revision that it replaces.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Finding } from '../catalogue/index.js';
import type { RolloutRow } from '../operators/index.js';
import type { ChangeRequest, OperatorClient } from './operator-client.js';

export interface ChangeTiming {
  /** Longest time to resolve a lost response, and then to wait until the hosts run the revision. */
  readonly timeoutMs: number;
  readonly pollMs: number;
}

/** The result of a change, after retries. */
export type ChangeResult =
  | { readonly kind: 'applied'; readonly revision: number; readonly hosts: readonly RolloutRow[] }
  | { readonly kind: 'conflict'; readonly revision: number | undefined }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] }
  | { readonly kind: 'refused' | 'unreachable' | 'unknown'; readonly detail: string };

/** Sends a change, and repeats it until its result is known or the timeout expires. */
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
    const found = await readResult(client, change);
    if (found !== undefined) return found;
    await sleep(timing.pollMs);
    const retry = await client.change(change);
    if (retry.kind === 'applied') return retry;
    // A conflict may be with the first attempt, and other failures say nothing about that attempt.
    if ('detail' in retry) detail = retry.detail;
  }
  return (await readResult(client, change)) ?? { kind: 'unknown', detail };
}

/** Reads whether a change took effect; undefined while that is not decided. */
async function readResult(
  client: OperatorClient,
  change: ChangeRequest,
): Promise<ChangeResult | undefined> {
  const read = await client.configuration();
  if (read.isErr()) return undefined;
  const { revision, changeId } = read.value;
  if (changeId === change.changeId) return { kind: 'applied', revision, hosts: [] };
  if (revision <= change.baseRevision) return undefined;
  // The change can only have become the next revision, so an even later one hides whether it did.
  if (revision === change.baseRevision + 1) return { kind: 'conflict', revision };
  const detail = `revision ${String(revision)} has replaced the revision that the change may have created`;
  return { kind: 'unknown', detail };
}

/** Waits until every reachable host runs the revision or the timeout expires. */
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
