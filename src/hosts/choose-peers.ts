/**
 * Which hosts are linked: all hosts of a data centre with each other, and a few pairs across each two
 * data centres.
 */
import type { Host } from '../model/index.js';
import { orderByWeight, weighPair } from './rendezvous.js';

const DEFAULT_CROSS_LINKS = 2;

/**
 * The hosts that `self` is linked to. A pair across data centres is linked if either of both hosts
 * ranks the other among its first `crossLinks` of that data centre. So the choice is symmetric, each
 * host has `crossLinks` or a few more links to each other data centre that has so many hosts, and the
 * loss of a host changes only the links of hosts that had chosen it.
 */
export function choosePeers(
  self: Host,
  hosts: readonly Host[],
  crossLinks = DEFAULT_CROSS_LINKS,
): readonly Host[] {
  const idsOf = (dataCentre: string) =>
    hosts.filter((host) => host.dataCentre === dataCentre).map((host) => host.id);
  const own = new Set([self.id, ...idsOf(self.dataCentre)]);
  const chosen = new Set(
    [...new Set(hosts.map((host) => host.dataCentre))].flatMap((dataCentre) =>
      rankPeers(self.id, idsOf(dataCentre)).slice(0, crossLinks),
    ),
  );
  return hosts.filter((host) => {
    if (host.id === self.id) return false;
    if (host.dataCentre === self.dataCentre || chosen.has(host.id)) return true;
    return rankPeers(host.id, [...own])
      .slice(0, crossLinks)
      .includes(self.id);
  });
}

/** Both hosts of a pair weigh it equally, so that many choices are mutual and fewer links are needed. */
function rankPeers(host: string, candidates: readonly string[]): readonly string[] {
  return orderByWeight(candidates, (candidate) =>
    host < candidate ? weighPair(host, candidate) : weighPair(candidate, host),
  );
}
