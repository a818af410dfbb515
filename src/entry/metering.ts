/**
 * Metrics of an entry host: outcomes as they happen, and gauges once per heartbeat. The names and
 * units are listed in docs/operating.md.
 */
import type { Metrics } from '../metrics/index.js';
import type { Outcome, WorkRequest } from '../model/index.js';
import type { HostComponents } from './host-components.js';

/** Counts an outcome and the time from submission to the end. */
export function recordOutcome(
  metrics: Metrics,
  request: WorkRequest,
  outcome: Outcome,
  now: number,
): void {
  const tags = { class: request.class, team: request.team };
  metrics.count('requests', 1, {
    ...tags,
    outcome: outcome.kind,
    ...(outcome.kind === 'refused' && { reason: outcome.reason }),
  });
  metrics.timing('response_ms', now - request.submittedAt, tags);
}

/** Reports queues and workers, and totals since the start, so that a lost datagram loses no count. */
export function reportHostGauges(components: HostComponents): void {
  const { metrics, host, heldWorkers, links, store } = components;
  const { load, storeContactAgeMs } = components.describeHeartbeat();
  const tags = { host: host.id };
  for (const [workClass, queued] of Object.entries(load.queued)) {
    metrics.gauge('queued', queued, { ...tags, class: workClass });
  }
  metrics.gauge('oldest_interactive_wait_ms', load.waitMs, tags);
  metrics.gauge('free_slots', load.freeSlots, tags);
  metrics.gauge('held_workers', heldWorkers.all().length, tags);
  metrics.gauge('store.contact_age_ms', storeContactAgeMs, tags);
  metrics.gauge('store.calls', store.calls(), tags);
  const { sentBytes, receivedBytes } = links.traffic();
  metrics.gauge('links.sent_bytes', sentBytes, tags);
  metrics.gauge('links.received_bytes', receivedBytes, tags);
}
