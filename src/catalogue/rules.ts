/**
 * Cross-field rules of a catalogue. They read the value before validation, so that their findings
 * are reported together with those of the schema.
 */
import type { Finding } from './finding.js';
import { propertiesOf, type UncheckedProperties } from './unchecked-properties.js';
import type { Path, SourceDocument } from './source-document.js';

/** Finds references to unknown teams, wrong numbers of tasks and keys that share a secret. */
export function checkCatalogueRules(source: SourceDocument): readonly Finding[] {
  const root = propertiesOf(source.value);
  const teams = new Set(Object.keys(propertiesOf(root.teams)));
  return [
    ...Object.entries(propertiesOf(root.entries)).flatMap(([name, entry]) => [
      ...checkTeam(source, ['entries', name, 'owner'], propertiesOf(entry).owner, teams),
      ...checkTaskCount(source, name, propertiesOf(entry)),
    ]),
    ...Object.entries(propertiesOf(root.keys)).flatMap(([id, key]) =>
      checkKeyTeam(source, id, propertiesOf(key), teams),
    ),
    ...checkDuplicateHashes(source, propertiesOf(root.keys)),
  ];
}

function checkTeam(
  source: SourceDocument,
  path: Path,
  team: unknown,
  teams: ReadonlySet<string>,
): readonly Finding[] {
  if (typeof team !== 'string' || teams.has(team)) return [];
  const fix =
    teams.size === 0
      ? 'add the team below "teams"'
      : `add the team below "teams" or use one of: ${[...teams].join(', ')}`;
  return [source.findingAt(path, `unknown ${String(path.at(-1))} "${team}"`, fix)];
}

function checkKeyTeam(
  source: SourceDocument,
  id: string,
  key: UncheckedProperties,
  teams: ReadonlySet<string>,
): readonly Finding[] {
  if (key.role === 'operator') return [];
  if (key.team !== undefined) return checkTeam(source, ['keys', id, 'team'], key.team, teams);
  const fix = 'write the name of the team whose work the key submits';
  return [source.findingAt(['keys', id, 'team'], '"team" is missing', fix)];
}

function checkTaskCount(
  source: SourceDocument,
  name: string,
  entry: UncheckedProperties,
): readonly Finding[] {
  const tasks = entry.tasks ?? 1;
  const path: Path = ['entries', name, entry.tasks === undefined ? 'class' : 'tasks'];
  if (entry.class === 'gang' && tasks === 1) {
    const fix = 'write the number of tasks, at least 2, or use the class batch';
    return [source.findingAt(path, 'a gang has one task', fix)];
  }
  const isSingleTaskClass =
    entry.class === 'interactive' || entry.class === 'batch' || entry.class === 'service';
  if (isSingleTaskClass && typeof tasks === 'number' && tasks > 1) {
    const problem = `an entry of class ${String(entry.class)} has ${String(tasks)} tasks`;
    return [source.findingAt(path, problem, 'remove "tasks" or use the class gang')];
  }
  return [];
}

/** If two keys had the same secret, the team that presents it would be ambiguous. */
function checkDuplicateHashes(
  source: SourceDocument,
  keys: UncheckedProperties,
): readonly Finding[] {
  const firstIds = new Map<string, string>();
  return Object.entries(keys).flatMap(([id, key]) => {
    const { hash } = propertiesOf(key);
    if (typeof hash !== 'string') return [];
    const first = firstIds.get(hash);
    firstIds.set(hash, first ?? id);
    if (first === undefined) return [];
    const problem = `the keys "${first}" and "${id}" have the same secret`;
    return [source.findingAt(['keys', id, 'hash'], problem, 'grant a new key for one of them')];
  });
}
