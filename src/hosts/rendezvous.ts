/**
 * Rendezvous hashing: each host ranks all hosts for a key by a hash of the host and the key. All hosts
 * compute the same ranking without coordination, and the removal of a host moves only its own keys.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/** Makes the hashes of the pairs ('ab', 'c') and ('a', 'bc') different. */
const SEPARATOR = 0;

/** Returns the hosts in the order in which they are responsible for the key. */
export function rendezvousOrder(key: string, hosts: readonly string[]): readonly string[] {
  return orderByWeight(hosts, (host) => weighPair(key, host));
}

/** Sorts the hosts by descending weight, and hosts of equal weight by id. */
export function orderByWeight(
  hosts: readonly string[],
  weigh: (host: string) => number,
): readonly string[] {
  return hosts
    .map((host) => ({ host, weight: weigh(host) }))
    .sort((left, right) => right.weight - left.weight || (left.host < right.host ? -1 : 1))
    .map(({ host }) => host);
}

/** Returns an evenly distributed hash of two strings. */
export function weighPair(first: string, second: string): number {
  return finalizeHash(fnv1aText(fnv1aStep(fnv1aText(FNV_OFFSET, first), SEPARATOR), second));
}

function fnv1aText(start: number, text: string): number {
  let hash = start;
  for (let index = 0; index < text.length; index += 1)
    hash = fnv1aStep(hash, text.charCodeAt(index));
  return hash;
}

/** One step of FNV-1a. */
function fnv1aStep(hash: number, code: number): number {
  return Math.imul(hash ^ code, FNV_PRIME);
}

/**
 * The finalizer of MurmurHash3; with FNV-1a alone, ids that differ only in the last digit have
 * similar hashes.
 */
function finalizeHash(hash: number): number {
  let mixed = hash;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
