/**
 * What all components of an entry host share and what does not depend on requests: identity, logs,
 * timeline, the platform's services, links, membership and configuration.
 */
import { randomUUID } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import type { ClientGuard } from '../client-limits/index.js';
import { compileConfiguration } from '../catalogue/index.js';
import { createConfigurationHolder, type ConfigurationHolder } from '../configuration/index.js';
import { createMembership, type TimedMembership } from '../hosts/index.js';
import { createLinks, type LinkTls, type Links } from '../links/index.js';
import { createLog, type Log } from '../log/index.js';
import { createMetrics, type Metrics } from '../metrics/index.js';
import type { Host } from '../model/index.js';
import { createHostList, createStore, type HostList, type Store } from '../platform/index.js';
import type { Settings, TlsFiles } from '../settings/index.js';
import { createTimeline, type Timeline } from '../timeline/index.js';
import { createLinkFaultInjector, type LinkFaultInjector } from './fault-injection.js';
import type { PeerMessages } from './messages.js';

export interface HostContext {
  readonly settings: Settings;
  readonly host: Host;
  readonly bootId: string;
  /** Host id and boot id, the name of an owner in allotments and the journal. */
  readonly owner: string;
  readonly phase: { leaving: boolean };
  /** Aborted when the host hands its work over. */
  readonly abort: AbortController;
  readonly logFor: (component: string) => Log;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly timeline: Timeline;
  readonly store: Store;
  readonly hostList: HostList;
  readonly links: Links<PeerMessages>;
  readonly membership: TimedMembership;
  readonly configuration: ConfigurationHolder;
  readonly faults: LinkFaultInjector;
  /** Wall clock, for deadlines and ids that are sent to other machines. */
  readonly now: () => number;
  /** Monotonic clock, which never steps, for ages and timeouts within this process. */
  readonly monotonicNow: () => number;
  readonly startedAt: number;
}

/** Tells the platform which data centre a call comes from. */
const DATA_CENTRE_HEADER = 'sapphirewing-data-centre';
const BOOT_ID_LENGTH = 8;

export async function createHostContext(
  settings: Settings,
  httpPort: number,
  guard: ClientGuard,
): Promise<HostContext> {
  const now = Date.now;
  const monotonicNow = () => performance.now();
  const bootId = randomUUID().slice(0, BOOT_ID_LENGTH);
  const logFor = (component: string) => createLog(component, settings.log);
  const faults = createLinkFaultInjector();
  const timeline = createTimeline({ host: settings.host.id, bootId, now });
  const headers = { [DATA_CENTRE_HEADER]: settings.host.dataCentre };
  const store = createStore({ url: settings.store, headers });
  const links = await openLinks(settings, {
    bootId,
    log: logFor('links'),
    timeline,
    faults,
    guard,
  });
  const host = describeHost(settings, httpPort, links.port);
  const membership = createMembership({
    host,
    peers: settings.peers.filter(({ id }) => id !== host.id),
    now: monotonicNow,
    suspectAfterMs: settings.timers.suspectAfterMs,
  });
  const configuration = createConfigurationHolder({
    store,
    membership,
    host,
    now: monotonicNow,
    keyStalenessMs: settings.timers.keyStalenessMs,
    log: logFor('configuration'),
    compile: compileConfiguration,
    relay: (record) => {
      for (const peer of links.connectedHosts()) links.notify(peer, 'configuration', record);
    },
  });
  return {
    settings,
    host,
    bootId,
    owner: `${host.id}/${bootId}`,
    phase: { leaving: false },
    abort: new AbortController(),
    logFor,
    log: logFor('entry'),
    metrics: createMetrics(settings.metrics === 'off' ? {} : settings.metrics),
    timeline,
    store,
    hostList: createHostList({ url: settings.hostList, headers }),
    links,
    membership,
    configuration,
    faults,
    now,
    monotonicNow,
    startedAt: monotonicNow(),
  };
}

interface LinkDependencies {
  readonly bootId: string;
  readonly log: Log;
  readonly timeline: Timeline;
  readonly faults: LinkFaultInjector;
  readonly guard: ClientGuard;
}

async function openLinks(
  settings: Settings,
  dependencies: LinkDependencies,
): Promise<Links<PeerMessages>> {
  const { address, port, secret, tls } = settings.links;
  return createLinks<PeerMessages>({
    host: describeHost(settings, 0, 0),
    bootId: dependencies.bootId,
    secret,
    listen: { address, port },
    log: dependencies.log,
    clock: dependencies.timeline.clock,
    protect: (server) => dependencies.guard.protectLinks(server),
    ...(settings.faultInjection && { filter: dependencies.faults.filterLink }),
    ...(tls !== undefined && { tls: await readTls(tls) }),
  });
}

/** A port of 0 in an advertised URL stands for the port that the system chose. */
function describeHost(settings: Settings, httpPort: number, linkPort: number): Host {
  return {
    id: settings.host.id,
    dataCentre: settings.host.dataCentre,
    url: withPort(settings.advertise, httpPort),
    linkUrl: withPort(settings.links.advertise, linkPort),
    state: 'live',
  };
}

function withPort(advertised: string, port: number): string {
  const url = new URL(advertised);
  if (url.port === '0') url.port = String(port);
  return url.toString().replace(/\/$/, '');
}

async function readTls(files: TlsFiles): Promise<LinkTls> {
  const [key, cert, ca] = await Promise.all(
    [files.key, files.cert, files.ca].map((file) => readFile(file, 'utf8')),
  );
  return { key: key ?? '', cert: cert ?? '', ca: ca ?? '' };
}
