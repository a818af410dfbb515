/**
 * Metrics of an entry host: outcomes as they happen, and gauges once per heartbeat. The names and
 * units are listed in docs/operating.md.
 */
import type { Metrics } from '../metrics/index.js';
import type { Outcome, WorkRequest } from '../model/index.js';
import type { Parts } from './parts.js';

/** Counts an outcome and the time from submission to the end. */
export function meterOutcome(
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

/** Reports queues, workers and what control costs. */
export function meterHost({ metrics, holdings, links, store, describeHeartbeat }: Parts): void {
  const { load, storeContactAgeMs } = describeHeartbeat();
  for (const [workClass, queued] of Object.entries(load.queued)) {
    metrics.gauge('queued', queued, { class: workClass });
  }
  metrics.gauge('oldest_interactive_wait_ms', load.waitMs);
  metrics.gauge('free_slots', load.freeSlots);
  metrics.gauge('held_workers', holdings.all().length);
  metrics.gauge('store_contact_age_ms', storeContactAgeMs);
  metrics.gauge('store_calls', store.calls());
  const { sentBytes, receivedBytes } = links.traffic();
  metrics.gauge('link_sent_bytes', sentBytes);
  metrics.gauge('link_received_bytes', receivedBytes);
}
