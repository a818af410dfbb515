/**
 * Cross-field rules of the settings.
 */
import { propertiesOf, type Finding, type SourceDocument } from '../catalogue/index.js';
import { timersSchema } from './schema.js';

/** Finds contradictions within the data centres, timers, link URLs and peers. */
export function checkSettingsRules(source: SourceDocument): readonly Finding[] {
  const root = propertiesOf(source.value);
  return [
    ...checkDataCentres(source, root),
    ...checkTimers(source, root.timers),
    ...checkLinks(source, propertiesOf(root.links)),
    ...checkPeers(source, root.peers),
  ];
}

function checkDataCentres(
  source: SourceDocument,
  root: Readonly<Record<string, unknown>>,
): readonly Finding[] {
  const own = propertiesOf(root.host).dataCentre;
  const all: unknown = root.dataCentres;
  if (!Array.isArray(all) || typeof own !== 'string' || all.includes(own)) return [];
  const problem = `the list lacks the data centre "${own}" of this host`;
  return [source.findingAt(['dataCentres'], problem, `add "${own}" or correct host.dataCentre`)];
}

function checkTimers(source: SourceDocument, raw: unknown): readonly Finding[] {
  const parsed = timersSchema.safeParse(raw ?? {});
  if (!parsed.success) return [];
  const { heartbeatMs, suspectAfterMs, leaseMs } = parsed.data;
  const findings: Finding[] = [];
  if (suspectAfterMs <= heartbeatMs) {
    findings.push(
      source.findingAt(
        ['timers', 'suspectAfterMs'],
        'live peers would be suspected between two heartbeats',
        `write more than heartbeatMs (${String(heartbeatMs)})`,
      ),
    );
  }
  // Peers renew the leases of a dead holder only after they suspect it.
  if (leaseMs <= suspectAfterMs) {
    findings.push(
      source.findingAt(
        ['timers', 'leaseMs'],
        'leases of a dead host would expire before its peers renew them',
        `write more than suspectAfterMs (${String(suspectAfterMs)})`,
      ),
    );
  }
  return findings;
}

function checkLinks(
  source: SourceDocument,
  links: Readonly<Record<string, unknown>>,
): readonly Finding[] {
  if (typeof links.advertise !== 'string') return [];
  const secure = links.advertise.startsWith('wss:');
  if (secure === (links.tls !== undefined)) return [];
  const [problem, fix] = secure
    ? ['the advertised URL uses TLS, but the links have no certificate', 'add "tls" or write ws://']
    : ['the links use TLS, but the advertised URL does not', 'write wss:// or remove "tls"'];
  return [source.findingAt(['links', 'advertise'], problem, fix)];
}

function checkPeers(source: SourceDocument, peers: unknown): readonly Finding[] {
  if (!Array.isArray(peers)) return [];
  const seen = new Set<unknown>();
  return peers.flatMap((peer: unknown, index) => {
    const { id } = propertiesOf(peer);
    if (typeof id !== 'string' || !seen.has(id)) {
      seen.add(id);
      return [];
    }
    const fix = 'rename or remove one of the two';
    return [source.findingAt(['peers', index, 'id'], `duplicate peer "${id}"`, fix)];
  });
}
