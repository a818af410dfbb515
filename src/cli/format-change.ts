/**
 * Configuration changes as text.
 */
import type { CatalogueChange } from '../catalogue/index.js';
import type { RolloutRow } from '../operators/index.js';

const MARKS = { added: '+', removed: '-', changed: '~' } as const;

/** One line per change, for example `~ team gate: limit 10 -> 20`. */
export function formatChange({ kind, part, name, fields }: CatalogueChange): string {
  const details = fields.map(({ field, before, after }) => `${field} ${before} -> ${after}`);
  const suffix = details.length === 0 ? '' : `: ${details.join(', ')}`;
  return `${MARKS[kind]} ${part} ${name}${suffix}`;
}

/** Which hosts run a revision, which do not yet and which are out of reach. */
export function formatRollout(hosts: readonly RolloutRow[], revision: number): readonly string[] {
  const runs = hosts.filter((host) => host.reachable && host.revision >= revision);
  const behind = hosts.filter((host) => host.reachable && host.revision < revision);
  const away = hosts.filter((host) => !host.reachable);
  const names = (rows: readonly RolloutRow[]) => rows.map(({ host }) => host).join(', ');
  return [
    `revision ${String(revision)} runs on ${runs.length === 0 ? 'no known host' : names(runs)}`,
    ...behind.map((row) => `not yet on ${row.host}, which runs revision ${String(row.revision)}`),
    ...(away.length === 0 ? [] : [`out of reach: ${names(away)}`]),
  ];
}
