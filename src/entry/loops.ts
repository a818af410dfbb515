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
/** Interval until the host list names other hosts. */
const INITIAL_FLEET_INTERVAL_MS = 100;
/** A claim must be read while heartbeats of its owner are recent, even if the owner dies at once. */
const CLAIM_STEPS_PER_SUSPICION = 5;
const ALLOTMENTS_INTERVAL_MS = 500;
const STRANDED_INTERVAL_MS = 250;
const CLAIM_STEPS_PER_ADOPTION = 2;
/** Renewals per lease; two may be lost before a lease expires. */
const RENEWALS_PER_LEASE = 3;

/** Starts all loops; they end when the signal is aborted. */
export function startLoops(components: HostComponents, signal: AbortSignal): void {
  const { settings, heldWorkers, allotments, settlement, claims } = components;
  const { heartbeatMs, leaseMs, suspectAfterMs } = settings.timers;
  const claimsIntervalMs = suspectAfterMs / CLAIM_STEPS_PER_SUSPICION;
  const repeat = (name: string, intervalMs: number, step: () => Promise<unknown>) => {
    void runLoop(components, { name, intervalMs, step, signal });
  };
  const silentOwners = new Set<string>();
  listenToClaims(components);
  listenToConfiguration(components);
  void components.configuration.start(signal);
  repeat('heartbeats', heartbeatMs, () => {
    claims.noteAlive();
    components.sendHeartbeats();
    reportHostGauges(components);
    return Promise.resolve();
  });
  repeat('fleet', CLAIM_STEPS_PER_FLEET_POLL * claimsIntervalMs, async () => {
    await refreshFleet(components);
    while (!signal.aborted && components.membership.hosts().length < 2 && !mayClaim(components)) {
      await delay(INITIAL_FLEET_INTERVAL_MS);
      await refreshFleet(components);
    }
  });
  repeat('claims', claimsIntervalMs, async () => {
    if (!mayClaim(components)) return;
    await claims.reconcile();
    await settlement.settleClaims();
  });
  repeat('allotments', ALLOTMENTS_INTERVAL_MS, async () => {
    await allotments.rebalance();
    requestAllotments(components);
    components.dispatcher.dispatchQueued();
  });
  repeat('stranded work', STRANDED_INTERVAL_MS, () => {
    moveStrandedWork(components);
    return Promise.resolve();
  });
  repeat('leases', leaseMs / RENEWALS_PER_LEASE, () => heldWorkers.refresh());
  repeat('orphans', leaseMs / RENEWALS_PER_LEASE, () => renewOrphans(components));
  repeat('adoption', CLAIM_STEPS_PER_ADOPTION * claimsIntervalMs, () =>
    adoptJobs(components, silentOwners),
  );
}

interface Loop {
  readonly name: string;
  readonly intervalMs: number;
  readonly step: () => Promise<unknown>;
  readonly signal: AbortSignal;
}

async function runLoop(
  components: HostComponents,
  { name, intervalMs, step, signal }: Loop,
): Promise<void> {
  while (!signal.aborted) {
    try {
      await step();
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      components.log.error('A periodic step failed.', { step: name, reason });
    }
    await delay(intervalMs, undefined, { ref: false, signal }).catch(() => undefined);
  }
}

/**
 * Whether this host may make claims. Without knowledge of its peers it would take over all claims of its data centre,
 * so it waits for the host list, or for the suspicion timeout if the list does not arrive.
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
    // Peers may free the allotments of this host while no claim names it.
    if (claims.owned().length === 0) allotments.invalidate();
    if (isWorkerClaim(claim)) heldWorkers.remove(workerIdOf(claim));
    else homes.stop(bucketOf(claim.subject), claim.epoch);
  });
}

/** Peers with unused allotments would otherwise find the shortage only when they next read the records. */
function requestAllotments({ allotments, links, membership }: HostComponents): void {
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

function listenToConfiguration(components: HostComponents): void {
  const { configuration, allotments, log, timeline } = components;
  configuration.onChange(({ teams, revision }) => {
    allotments.setLimits(teams, revision);
    log.info('Activated a new configuration.', { revision });
    timeline.record({ kind: 'configuration', detail: `revision ${String(revision)}` });
    components.sendHeartbeats();
  });
}

function formerHostOf({ from }: Claim): string | undefined {
  return from?.at(-1)?.split('/')[0];
}

/** Reroutes work that was queued here before the last worker left or became unreachable. */
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

async function refreshFleet(components: HostComponents): Promise<void> {
  const { hostList, membership, host, links } = components;
  const fleet = await hostList.fetch();
  if (fleet.isOk()) {
    membership.setFleet(fleet.value);
    components.scheduler.setLedgers(components.heldWorkers.ledgers());
  }
  links.setPeers(choosePeers(host, membership.hosts()));
}

/**
 * Renews the leases of a dead holder's tasks until another host can take over its workers. The live host with the
 * lowest id does so.
 */
async function renewOrphans(components: HostComponents): Promise<void> {
  const { claims, membership, host } = components;
  const live = new Set(membership.live(host.dataCentre));
  const [lowestHost] = [...live].sort();
  if (lowestHost !== host.id) return;
  const orphans = claims
    .all()
    .filter((claim) => isWorkerClaim(claim) && !live.has(claim.host))
    .filter((claim) => claim.host !== host.id);
  for (const claim of orphans) {
    const worker = components.findWorker(workerIdOf(claim));
    if (worker === undefined) continue;
    await components.renewLeases(worker, claim.epoch);
  }
}

/**
 * Adopts the jobs of dead owners. An owner counts as dead only if it was silent in two steps in a row: the first job of
 * a host that has just restarted may be in the store before its first heartbeat arrives here.
 */
async function adoptJobs(components: HostComponents, silentOwners: Set<string>): Promise<void> {
  const { journal, membership, jobs, abort, claims } = components;
  if (abort.signal.aborted || !mayClaim(components) || !claims.isMembershipReliable()) return;
  const silentBefore = new Set(silentOwners);
  silentOwners.clear();
  const adopted = await journal.adopt((owner) => {
    const [host = '', bootId] = owner.split('/');
    const isAlive =
      membership.live().includes(host) && membership.heartbeat(host)?.bootId === bootId;
    if (!isAlive) silentOwners.add(owner);
    return !isAlive && silentBefore.has(owner);
  });
  if (adopted.isOk()) jobs.resume(adopted.value);
  // Callers may wait for jobs that had ended before they were adopted.
  jobs.resume(
    journal.jobs().filter(({ request, state }) => {
      return state === 'ended' && components.table.get(request.team, request.id) === undefined;
    }),
  );
  await journal.sweep();
}
