/**
 * Implements the backend of the callers' interface with the components of this host.
 */
import type { CallerBackend } from '../callers/index.js';
import { unknownOutcome, type Outcome, type RequestStatus } from '../model/index.js';
import type { HostComponents } from './host-components.js';

export function createCallerBackend(components: HostComponents): CallerBackend {
  const { configuration, membership, links, table, forwarder, host } = components;

  async function status(
    team: string,
    id: string,
    waitMs: number,
  ): Promise<RequestStatus | 'not-found' | Outcome> {
    const here = await table.wait(team, id, waitMs);
    if (here !== undefined && here.outcome?.kind !== 'unknown') return here;
    const elsewhere = await forwarder.findStatus(team, id, waitMs);
    if (elsewhere !== undefined && elsewhere.outcome?.kind !== 'unknown') return elsewhere;
    const recorded = await components.journal.find(team, id);
    if (recorded.isOk() && recorded.value !== undefined) return describeRecord(recorded.value);
    const unknownStatus = here ?? elsewhere;
    if (unknownStatus !== undefined) return unknownStatus;
    return isEveryHostLinked() && recorded.isOk() ? 'not-found' : hostsUnreachable(id);
  }

  function isEveryHostLinked(): boolean {
    const linked = new Set([host.id, ...links.connectedHosts()]);
    return membership.hosts().every(({ id }) => linked.has(id));
  }

  return {
    status,
    configuration: () => configuration.current(),
    keysCurrent: () => configuration.keysCurrent(),
    accepting: () => !components.phase.leaving && canServe(components),
    submit: (request) => components.service.submit(request),
    cancel: (team, id) => components.canceller.cancel(team, id),
  };
}

/** Whether requests can be served: a host that has just started has no configuration, workers or links. */
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

type RecordedJob = Pick<RequestStatus, 'state'> & {
  readonly request: Pick<RequestStatus, 'id' | 'team' | 'entry'>;
  readonly outcome?: Outcome;
};

function describeRecord({ request, state, outcome }: RecordedJob): RequestStatus {
  const { id, team, entry } = request;
  return { id, team, entry, state, ...(outcome !== undefined && { outcome }) };
}

function hostsUnreachable(id: string): Outcome {
  return unknownOutcome(
    `Some hosts cannot be reached and none of the others knows request ${id}; ask again later.`,
  );
}
