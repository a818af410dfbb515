/**
 * Formats configuration changes and their rollout as text.
 */
import type { CatalogueChange } from '../catalogue/index.js';
import type { RolloutRow } from '../operators/index.js';

const SYMBOLS = { added: '+', removed: '-', changed: '~' } as const;

/** One line per change, for example `~ team gate: limit 10 -> 20`. */
export function formatChange({ kind, part, name, fields }: CatalogueChange): string {
  const details = fields.map(({ field, before, after }) => `${field} ${before} -> ${after}`);
  const suffix = details.length === 0 ? '' : `: ${details.join(', ')}`;
  return `${SYMBOLS[kind]} ${part} ${name}${suffix}`;
}

/** Lists the hosts that run a revision, those that do not yet and those that are unreachable. */
export function formatRollout(hosts: readonly RolloutRow[], revision: number): readonly string[] {
  const current = hosts.filter((host) => host.reachable && host.revision >= revision);
  const behind = hosts.filter((host) => host.reachable && host.revision < revision);
  const unreachable = hosts.filter((host) => !host.reachable);
  const names = (rows: readonly RolloutRow[]) => rows.map(({ host }) => host).join(', ');
  return [
    `revision ${String(revision)} runs on ${current.length === 0 ? 'no known host' : names(current)}`,
    ...behind.map((row) => `not yet on ${row.host}, which runs revision ${String(row.revision)}`),
    ...(unreachable.length === 0 ? [] : [`out of reach: ${names(unreachable)}`]),
  ];
}
