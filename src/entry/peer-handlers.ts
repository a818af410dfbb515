/**
 * Answers the messages of other entry hosts.
 */
import type { Heartbeat } from '../hosts/index.js';
import type { JoinMessage, JoinReply } from './messages.js';
import { collectRows } from './operator-rows.js';
import type { HostComponents } from './host-components.js';

export function registerPeerHandlers(components: HostComponents): void {
  const { links, allotments, configuration, table, canceller, homes, reservations, timeline } =
    components;
  links.handle('heartbeat', (heartbeat) => {
    receiveHeartbeat(components, heartbeat);
    return null;
  });
  links.handle('forward', (message) => components.service.receive(message));
  links.handle('status', async ({ team, id, waitMs }) => {
    return (await table.wait(team, id, waitMs)) ?? null;
  });
  links.handle('cancel', ({ team, id }) => canceller.cancelHere(team, id));
  links.handle('remember', (message) => homes.remember(message));
  links.handle('fence', (message) => homes.fence(message));
  links.handle('configuration', (record) => {
    configuration.adoptIfNewer(record);
    return null;
  });
  links.handle('pull-configuration', () => configuration.record() ?? null);
  links.handle('allotment-wanted', async ({ team }) => {
    allotments.noteWanted(team);
    await allotments.rebalance();
    return null;
  });
  links.handle('join', (message) => joinTask(components, message));
  links.handle('reserve', (message) => ({
    tasks: components.phase.leaving ? [] : reservations.reserve(message),
  }));
  links.handle('run-reserved', ({ task, request }) => reservations.run(task, request));
  links.handle('release', ({ tasks }) => {
    reservations.release(tasks);
    return null;
  });
  links.handle('timeline', (filter) => timeline.query(filter));
  links.handle('operator', ({ table: name }) => collectRows(components, name));
}

function receiveHeartbeat(components: HostComponents, heartbeat: Heartbeat): void {
  const { configuration, membership, links } = components;
  membership.recordHeartbeat(heartbeat);
  const revision = configuration.current()?.revision ?? 0;
  if (heartbeat.revision <= revision) return;
  void links.request(heartbeat.host, 'pull-configuration', null).map((record) => {
    if (record !== null) configuration.adoptIfNewer(record);
    return undefined;
  });
}

async function joinTask(
  components: HostComponents,
  { worker, task }: JoinMessage,
): Promise<JoinReply> {
  return (await components.runner.join(worker, task)) ?? { kind: 'not-held' };
}
