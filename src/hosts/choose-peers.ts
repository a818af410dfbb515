/**
 * Chooses which hosts are linked: all hosts within a data centre, and a few pairs of hosts between
 * each two data centres.
 */
import type { Host } from '../model/index.js';
import { orderByWeight, weighPair } from './rendezvous.js';

const DEFAULT_CROSS_LINKS = 2;

/**
 * Returns the hosts that `self` is linked to. Two hosts of different data centres are linked if either
 * ranks the other among its first `crossLinks` hosts of that data centre. The choice is therefore
 * symmetric, each host has `crossLinks` or a few more links to every other data centre with that many
 * hosts, and the loss of a host changes only the links of the hosts that had chosen it.
 */
export function choosePeers(
  self: Host,
  hosts: readonly Host[],
  crossLinks = DEFAULT_CROSS_LINKS,
): readonly Host[] {
  const idsOf = (dataCentre: string) =>
    hosts.filter((host) => host.dataCentre === dataCentre).map((host) => host.id);
  const ownDataCentre = new Set([self.id, ...idsOf(self.dataCentre)]);
  const chosen = new Set(
    [...new Set(hosts.map((host) => host.dataCentre))].flatMap((dataCentre) =>
      rankPeers(self.id, idsOf(dataCentre)).slice(0, crossLinks),
    ),
  );
  return hosts.filter((host) => {
    if (host.id === self.id) return false;
    if (host.dataCentre === self.dataCentre || chosen.has(host.id)) return true;
    return rankPeers(host.id, [...ownDataCentre])
      .slice(0, crossLinks)
      .includes(self.id);
  });
}

/**
 * Both hosts compute the same weight for their pair, so that more choices are mutual and fewer
 * links are needed.
 */
function rankPeers(host: string, candidates: readonly string[]): readonly string[] {
  return orderByWeight(candidates, (candidate) =>
    host < candidate ? weighPair(host, candidate) : weighPair(candidate, host),
  );
}
