/**
 * The periodic work of an entry host. Each loop runs one step at a time, and a failing step is
 * logged and repeated at the next interval.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { Claim } from '../claims/index.js';
import { choosePeers } from '../hosts/index.js';
import { isWorkerClaim, workerIdOf } from './held-workers.js';
import { reportHostGauges } from './metering.js';
import { refuse } from '../model/index.js';
import type { HostComponents } from './host-components.js';
import { bucketSubject } from './request-service.js';

/** A restarted host must find its peers, and they its address, within its grace period. */
const CLAIM_STEPS_PER_FLEET_POLL = 2;
/** Used until the host list names other hosts. */
const FIRST_FLEET_INTERVAL_MS = 100;
/** A claim must be read while heartbeats of its owner are recent, even if the owner dies at once. */
const CLAIM_STEPS_PER_SUSPICION = 5;
const ALLOTMENTS_INTERVAL_MS = 500;
const STRANDED_INTERVAL_MS = 250;
const CLAIM_STEPS_PER_ADOPTION = 2;
/** Renewals per lease; two may be lost before a lease expires. */
const RENEWALS_PER_LEASE = 3;

/** Starts all loops; they end when the signal is aborted. */
export function startLoops(parts: HostComponents, signal: AbortSignal): void {
  const { settings, heldWorkers, allotments, settlement, claims } = parts;
  const { heartbeatMs, leaseMs, suspectAfterMs } = settings.timers;
  const claimsIntervalMs = suspectAfterMs / CLAIM_STEPS_PER_SUSPICION;
  const repeat = (name: string, intervalMs: number, step: () => Promise<unknown>) => {
    void runLoop(parts, { name, intervalMs, step, signal });
  };
  const silentOwners = new Set<string>();
  listenToClaims(parts);
  listenToConfiguration(parts);
  void parts.configuration.start(signal);
  repeat('heartbeats', heartbeatMs, () => {
    claims.noteAlive();
    parts.sendHeartbeats();
    reportHostGauges(parts);
    return Promise.resolve();
  });
  repeat('fleet', CLAIM_STEPS_PER_FLEET_POLL * claimsIntervalMs, async () => {
    await refreshFleet(parts);
    while (!signal.aborted && parts.membership.hosts().length < 2 && !mayClaim(parts)) {
      await delay(FIRST_FLEET_INTERVAL_MS);
      await refreshFleet(parts);
    }
  });
  repeat('claims', claimsIntervalMs, async () => {
    if (!mayClaim(parts)) return;
    await claims.reconcile();
    await settlement.settleClaims();
  });
  repeat('allotments', ALLOTMENTS_INTERVAL_MS, async () => {
    await allotments.rebalance();
    askForAllotments(parts);
    parts.dispatcher.dispatchQueued();
  });
  repeat('stranded work', STRANDED_INTERVAL_MS, () => {
    moveStrandedWork(parts);
    return Promise.resolve();
  });
  repeat('leases', leaseMs / RENEWALS_PER_LEASE, () => heldWorkers.refresh());
  repeat('orphans', leaseMs / RENEWALS_PER_LEASE, () => renewOrphans(parts));
  repeat('adoption', CLAIM_STEPS_PER_ADOPTION * claimsIntervalMs, () =>
    adoptJobs(parts, silentOwners),
  );
}

interface Loop {
  readonly name: string;
  readonly intervalMs: number;
  readonly step: () => Promise<unknown>;
  readonly signal: AbortSignal;
}

async function runLoop(
  parts: HostComponents,
  { name, intervalMs, step, signal }: Loop,
): Promise<void> {
  while (!signal.aborted) {
    try {
      await step();
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      parts.log.error('A periodic step failed.', { step: name, reason });
    }
    await delay(intervalMs, undefined, { ref: false, signal }).catch(() => undefined);
  }
}

/**
 * A host that knows no peers would take every claim of its data centre from them, so it waits for
 * the host list. Without the list it starts after the suspicion timeout.
 */
function mayClaim({ membership, startedAt, settings, monotonicNow }: HostComponents): boolean {
  return (
    membership.hosts().length > 1 || monotonicNow() - startedAt >= settings.timers.suspectAfterMs
  );
}

function listenToClaims({ claims, heldWorkers, homes, allotments }: HostComponents): void {
  claims.onGain(async (claim) => {
    if (claims.owned().length === 0) allotments.invalidate();
    if (isWorkerClaim(claim)) await heldWorkers.takeOver(claim);
    else await homes.takeOver(bucketOf(claim.subject), claim.epoch, formerHostOf(claim));
  });
  claims.onLoss((claim) => {
    // Its parts may be freed while no claim names this host.
    if (claims.owned().length === 0) allotments.invalidate();
    if (isWorkerClaim(claim)) heldWorkers.remove(workerIdOf(claim));
    else homes.stop(bucketOf(claim.subject), claim.epoch);
  });
}

/** Peers with unused parts would otherwise find the request only at their next survey. */
function askForAllotments({ allotments, links, membership }: HostComponents): void {
  for (const team of allotments.wantedTeams()) {
    for (const peer of links.connectedHosts()) {
      const spare = membership.heartbeat(peer)?.load.teams[team]?.spare ?? 0;
      if (spare > 0) links.notify(peer, 'allotment-wanted', { team });
    }
  }
}

function bucketOf(subject: string): number {
  return Number(subject.slice(bucketSubject(0).length - 1));
}

function listenToConfiguration(parts: HostComponents): void {
  const { configuration, allotments, log, timeline } = parts;
  configuration.onChange(({ teams, revision }) => {
    allotments.setLimits(teams, revision);
    log.info('Runs a new configuration.', { revision });
    timeline.record({ kind: 'configuration', detail: `revision ${String(revision)}` });
    parts.sendHeartbeats();
  });
}

function formerHostOf({ from }: Claim): string | undefined {
  return from?.at(-1)?.split('/')[0];
}

/** Work that was queued here before the last worker left or became unreachable. */
function moveStrandedWork({
  heldWorkers,
  dispatcher,
  interactive,
  scheduler,
}: HostComponents): void {
  if (heldWorkers.hasUsable() || scheduler.queued().every((row) => row.class === 'gang')) return;
  const detail = 'This host has no worker that takes new tasks.';
  dispatcher.drain((request) => interactive.reroute(request), refuse('no-capacity', detail));
}

async function refreshFleet(parts: HostComponents): Promise<void> {
  const { hostList, membership, host, links } = parts;
  const fleet = await hostList.fetch();
  if (fleet.isOk()) {
    membership.setFleet(fleet.value);
    parts.scheduler.setLedgers(parts.heldWorkers.ledgers());
  }
  links.setPeers(choosePeers(host, membership.hosts()));
}

/** Tasks of a dead holder keep their leases until another host can take its workers over. */
async function renewOrphans(parts: HostComponents): Promise<void> {
  const { claims, membership, host } = parts;
  const live = new Set(membership.live(host.dataCentre));
  const [first] = [...live].sort();
  if (first !== host.id) return;
  const orphans = claims
    .all()
    .filter((claim) => isWorkerClaim(claim) && !live.has(claim.host))
    .filter((claim) => claim.host !== host.id);
  for (const claim of orphans) {
    const worker = parts.findWorker(workerIdOf(claim));
    if (worker === undefined) continue;
    await parts.renewLeases(worker, claim.epoch);
  }
}

/**
 * An owner counts as dead if it was silent in two steps: the first job of a host that has just
 * restarted may be in the store before its first heartbeat arrives here.
 */
async function adoptJobs(parts: HostComponents, silentOwners: Set<string>): Promise<void> {
  const { journal, membership, jobs, abort, claims } = parts;
  if (abort.signal.aborted || !mayClaim(parts) || !claims.isMembershipReliable()) return;
  const silentBefore = new Set(silentOwners);
  silentOwners.clear();
  const adopted = await journal.adopt((owner) => {
    const [host = '', bootId] = owner.split('/');
    const isHeard =
      membership.live().includes(host) && membership.heartbeat(host)?.bootId === bootId;
    if (!isHeard) silentOwners.add(owner);
    return !isHeard && silentBefore.has(owner);
  });
  if (adopted.isOk()) jobs.resume(adopted.value);
  // Callers may wait for jobs that had ended before they were adopted.
  jobs.resume(
    journal.jobs().filter(({ request, state }) => {
      return state === 'ended' && parts.table.get(request.team, request.id) === undefined;
    }),
  );
  await journal.sweep();
}
