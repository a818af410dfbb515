/**
 * Rendezvous hashing: every host ranks all hosts for a key by a hash of both. Without coordination
 * all hosts get the same ranking, and the removal of a host moves only the keys that it held.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/** Keeps the pairs ('ab', 'c') and ('a', 'bc') apart. */
const SEPARATOR = 0;

/** The hosts in the order in which they are responsible for the key, best first. */
export function rendezvousOrder(key: string, hosts: readonly string[]): readonly string[] {
  return orderByWeight(hosts, (host) => weighPair(key, host));
}

/** The hosts by falling weight; equal weights are ordered by id. */
export function orderByWeight(
  hosts: readonly string[],
  weigh: (host: string) => number,
): readonly string[] {
  return hosts
    .map((host) => ({ host, weight: weigh(host) }))
    .sort((left, right) => right.weight - left.weight || (left.host < right.host ? -1 : 1))
    .map(({ host }) => host);
}

/** An evenly distributed hash of two texts. */
export function weighPair(first: string, second: string): number {
  return finish(mixText(mix(mixText(FNV_OFFSET, first), SEPARATOR), second));
}

function mixText(start: number, text: string): number {
  let hash = start;
  for (let index = 0; index < text.length; index += 1) hash = mix(hash, text.charCodeAt(index));
  return hash;
}

/** One step of FNV-1a. */
function mix(hash: number, code: number): number {
  return Math.imul(hash ^ code, FNV_PRIME);
}

/** The final mix of MurmurHash3; FNV-1a alone leaves ids that differ in the last digit close together. */
function finish(hash: number): number {
  let mixed = hash;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
