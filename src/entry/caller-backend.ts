/**
 * What this host does for callers, in terms of its parts.
 */
import type { CallerBackend } from '../callers/index.js';
import { unknownOutcome, type Outcome, type RequestStatus } from '../model/index.js';
import type { HostComponents } from './host-components.js';

export function createCallerBackend(parts: HostComponents): CallerBackend {
  const { configuration, membership, links, table, forwarder, host } = parts;

  async function status(
    team: string,
    id: string,
    waitMs: number,
  ): Promise<RequestStatus | 'not-found' | Outcome> {
    const here = await table.wait(team, id, waitMs);
    if (here !== undefined && here.outcome?.kind !== 'unknown') return here;
    const elsewhere = await forwarder.findStatus(team, id, waitMs);
    if (elsewhere !== undefined && elsewhere.outcome?.kind !== 'unknown') return elsewhere;
    const recorded = await parts.journal.find(team, id);
    if (recorded.isOk() && recorded.value !== undefined) return describeRecord(recorded.value);
    const lost = here ?? elsewhere;
    if (lost !== undefined) return lost;
    return everyHostAnswers() && recorded.isOk() ? 'not-found' : unreachable(id);
  }

  function everyHostAnswers(): boolean {
    const linked = new Set([host.id, ...links.connectedHosts()]);
    return membership.hosts().every(({ id }) => linked.has(id));
  }

  return {
    status,
    configuration: () => configuration.current(),
    keysCurrent: () => configuration.keysCurrent(),
    accepting: () => !parts.phase.leaving && canServe(parts),
    submit: (request) => parts.service.submit(request),
    cancel: (team, id) => parts.canceller.cancel(team, id),
  };
}

/** A host that has just started has neither a configuration nor workers nor links to others. */
function canServe({ configuration, scheduler, links, membership }: HostComponents): boolean {
  if (configuration.current() === undefined) return false;
  if (scheduler.load().capacity.processors > 0) return true;
  const live = new Set(membership.live());
  return links
    .connectedHosts()
    .some(
      (peer) => live.has(peer) && (membership.heartbeat(peer)?.load.capacity.processors ?? 0) > 0,
    );
}

type Recorded = Pick<RequestStatus, 'state'> & {
  readonly request: Pick<RequestStatus, 'id' | 'team' | 'entry'>;
  readonly outcome?: Outcome;
};

function describeRecord({ request, state, outcome }: Recorded): RequestStatus {
  const { id, team, entry } = request;
  return { id, team, entry, state, ...(outcome !== undefined && { outcome }) };
}

function unreachable(id: string): Outcome {
  return unknownOutcome(
    `Some hosts cannot be reached and none of the others knows request ${id}; ask again later.`,
  );
}
