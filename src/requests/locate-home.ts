/**
 * Locates the home of a request id by rendezvous hashing. The result depends only on the team, the id and
 * the set of data centres, so that every host of the fleet computes the same one.
 */
import { createHash } from 'node:crypto';

/** Buckets of request ids per data centre. */
export const BUCKETS = 16;

const WEIGHT_BYTES = 6;

/** Data centre and bucket of a home. */
export interface HomeLocation {
  readonly dataCentre: string;
  readonly bucket: number;
}

/** Locates the home of an id; few ids move when a data centre is added or removed. */
export function locateHome(team: string, id: string, dataCentres: readonly string[]): HomeLocation {
  const weighted = dataCentres.map((name) => ({ name, weight: hashWeight([name, team, id]) }));
  const best = weighted.reduce((left, right) => {
    if (left.weight !== right.weight) return left.weight > right.weight ? left : right;
    return left.name < right.name ? left : right;
  });
  return { dataCentre: best.name, bucket: bucketOf(team, id) };
}

/** Bucket of an id within its data centre. */
export function bucketOf(team: string, id: string): number {
  return hashWeight([team, id]) % BUCKETS;
}

function hashWeight(parts: readonly string[]): number {
  const digest = createHash('sha256').update(JSON.stringify(parts)).digest();
  return digest.readUIntBE(0, WEIGHT_BYTES);
}
