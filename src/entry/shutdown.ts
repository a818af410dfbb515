/**
 * Graceful shutdown: the host takes no new work, moves what is queued, finishes what callers wait
 * for, and hands its workers, id buckets, jobs and allotments to its peers.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { refuse } from '../model/index.js';
import type { HostComponents } from './host-components.js';

const POLL_MS = 50;
/** Peers claim released subjects in their next step, which comes once a second. */
const SUCCESSOR_WAIT_MS = 5000;
/** A successor fences the former home right after its claim. */
const FENCE_WAIT_MS = 500;
/** Longest wait for running interactive requests; their longest run time is usually shorter. */
const MAX_DRAIN_MS = 60_000;

/**
 * Drains the host. Until the listener closes, requests of callers that do not know yet that the host is leaving
 * are forwarded to its peers; their connections stay open until this resolves.
 */
export async function drainHost(
  components: HostComponents,
  stopListening: () => Promise<void>,
): Promise<void> {
  const { log, phase, settings, membership, dispatcher, interactive, reservations } = components;
  log.info('Leaving.');
  phase.leaving = true;
  membership.leave();
  components.sendHeartbeats();
  dispatcher.drain(
    (request) => interactive.reroute(request),
    refuse('shutting-down', 'This host is leaving; another host continues the job.'),
  );
  await delay(settings.timers.drainGraceMs);
  await stopListening();
  await waitUntil(() => interactive.active() === 0 && reservations.waiting() === 0, MAX_DRAIN_MS);
  await handOver(components);
  log.info('Left.');
}

/**
 * Hands over jobs before claims: the host that adopts a job looks up its tasks on their workers, which answer once
 * they have their new holders.
 */
async function handOver(components: HostComponents): Promise<void> {
  const { journal, homes, claims, allotments, abort } = components;
  abort.abort();
  const successor = findSuccessor(components);
  if (successor !== undefined) await journal.release(successor);
  await journal.flush();
  await homes.flush();
  await claims.release(claims.owned().map(({ subject }) => subject));
  await waitForSuccessors(components);
  await allotments.drain();
}

/** The peer that adopts all jobs; without one they are adopted once this host counts as dead. */
function findSuccessor({ membership, host }: HostComponents): string | undefined {
  const peers = membership.live(host.dataCentre).filter((id) => id !== host.id);
  const heartbeat = peers
    .map((id) => membership.heartbeat(id))
    .find((found) => found !== undefined);
  return heartbeat && `${heartbeat.host}/${heartbeat.bootId}`;
}

/** Successors fence this host and read its request ids, so it answers until they have claimed. */
async function waitForSuccessors({ claims, host, membership }: HostComponents): Promise<void> {
  if (membership.live(host.dataCentre).length === 0) return;
  await waitUntil(async () => {
    await claims.reconcile();
    return claims.all().every((claim) => claim.host !== host.id);
  }, SUCCESSOR_WAIT_MS);
  await delay(FENCE_WAIT_MS);
}

async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  timeoutMs: number,
): Promise<void> {
  const giveUpAt = Date.now() + timeoutMs;
  while (!(await condition()) && Date.now() < giveUpAt) await delay(POLL_MS);
}
