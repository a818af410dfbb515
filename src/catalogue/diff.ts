/**
 * Compares the teams, entries and keys of two configuration texts. Comments, order and defaults
 * that are written out are ignored.
 */
import { parseCatalogue, type CatalogueDocument } from './catalogue.js';

/** A changed field; `before` and `after` are JSON texts. */
export interface FieldChange {
  readonly field: string;
  readonly before: string;
  readonly after: string;
}

/** A team, entry or key that was added, removed or changed. */
export interface CatalogueChange {
  readonly kind: 'added' | 'removed' | 'changed';
  readonly part: 'team' | 'entry' | 'key';
  readonly name: string;
  /** Fields of a `changed` item; empty for the other kinds. */
  readonly fields: readonly FieldChange[];
}

type Items = ReadonlyMap<string, Readonly<Record<string, unknown>>>;

const EMPTY: CatalogueDocument = { entries: new Map(), teams: new Map(), keys: [] };

/** Compares two valid texts; an empty or invalid text counts as an empty catalogue. */
export function diffCatalogues(before: string, after: string): readonly CatalogueChange[] {
  const left = parseCatalogue(before).unwrapOr(EMPTY);
  const right = parseCatalogue(after).unwrapOr(EMPTY);
  return [
    ...diffItems('team', itemsOf([...left.teams.values()]), itemsOf([...right.teams.values()])),
    ...diffItems(
      'entry',
      itemsOf([...left.entries.values()]),
      itemsOf([...right.entries.values()]),
    ),
    ...diffItems(
      'key',
      itemsOf(left.keys.map(({ id, ...key }) => ({ name: id, ...key }))),
      itemsOf(right.keys.map(({ id, ...key }) => ({ name: id, ...key }))),
    ),
  ];
}

function itemsOf(items: readonly { readonly name: string }[]): Items {
  return new Map(items.map((item) => [item.name, { ...item }]));
}

function diffItems(
  part: CatalogueChange['part'],
  before: Items,
  after: Items,
): readonly CatalogueChange[] {
  const names = [...new Set([...before.keys(), ...after.keys()])].sort();
  return names.flatMap((name): readonly CatalogueChange[] => {
    const old = before.get(name);
    const next = after.get(name);
    if (old === undefined) return [{ kind: 'added', part, name, fields: [] }];
    if (next === undefined) return [{ kind: 'removed', part, name, fields: [] }];
    const fields = diffFields(old, next);
    return fields.length === 0 ? [] : [{ kind: 'changed', part, name, fields }];
  });
}

function diffFields(
  before: Readonly<Record<string, unknown>>,
  after: Readonly<Record<string, unknown>>,
): readonly FieldChange[] {
  return Object.keys(after).flatMap((field) => {
    const change = {
      field,
      before: JSON.stringify(before[field]),
      after: JSON.stringify(after[field]),
    };
    return change.before === change.after ? [] : [change];
  });
}
