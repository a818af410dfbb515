/**
 * Parses the operators' configuration, which maps names to teams, catalogue entries and keys.
 */
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { CatalogueEntry, Configuration, ApiKey, Team } from '../model/index.js';
import { mapping, nameField } from './fields.js';
import type { Finding } from './finding.js';
import { propertiesOf } from './unchecked-properties.js';
import { checkCatalogueRules } from './rules.js';
import {
  applyEntryDefaults,
  applyKeyDefaults,
  entrySchema,
  keySchema,
  teamSchema,
} from './schema.js';
import { checkValue, parseSource, sortFindings, type SourceDocument } from './source-document.js';

/** The validated contents of a configuration text. */
export interface CatalogueDocument {
  readonly entries: ReadonlyMap<string, CatalogueEntry>;
  readonly teams: ReadonlyMap<string, Team>;
  readonly keys: readonly ApiKey[];
}

/** Top-level fields of a catalogue. */
export const CATALOGUE_SECTIONS = ['teams', 'entries', 'keys'] as const;

type SectionName = (typeof CATALOGUE_SECTIONS)[number];

interface Section<T> {
  readonly items: ReadonlyMap<string, T>;
  readonly findings: readonly Finding[];
}

const DEFAULT_FILE = 'configuration';

/** A section may be missing or empty, for example before the first key is granted. */
const section = z.looseObject({}, 'write a mapping by name').nullish();
const rootSchema = mapping({ teams: section, entries: section, keys: section });

/** Parses and validates a configuration text; all errors are reported together. */
export function parseCatalogue(
  text: string,
  file: string = DEFAULT_FILE,
): Result<CatalogueDocument, readonly Finding[]> {
  const source = parseSource(text, file);
  const root = checkValue(source, rootSchema, source.value, []);
  const teams = checkSection(source, 'teams', teamSchema, (name, team) => ({ name, ...team }));
  const entries = checkSection(source, 'entries', entrySchema, applyEntryDefaults);
  const keys = checkSection(source, 'keys', keySchema, applyKeyDefaults);
  const findings = [
    ...source.findings,
    ...root.findings,
    ...teams.findings,
    ...entries.findings,
    ...keys.findings,
    ...checkCatalogueRules(source),
  ];
  if (findings.length > 0) return err(sortFindings(findings));
  return ok({ teams: teams.items, entries: entries.items, keys: [...keys.items.values()] });
}

/** Builds the configuration of a revision from its text. */
export function compileConfiguration(
  text: string,
  revision: number,
  changeId: string,
): Result<Configuration, readonly Finding[]> {
  return parseCatalogue(text).map((document) => ({ revision, changeId, text, ...document }));
}

function checkSection<Value, Item>(
  source: SourceDocument,
  sectionName: SectionName,
  schema: z.ZodType<Value>,
  createItem: (name: string, value: Value) => Item,
): Section<Item> {
  const items = new Map<string, Item>();
  const findings: Finding[] = [];
  for (const [name, raw] of Object.entries(propertiesOf(propertiesOf(source.value)[sectionName]))) {
    const path = [sectionName, name];
    const checkedName = nameField.safeParse(name);
    if (!checkedName.success) {
      const fix = checkedName.error.issues.map((issue) => issue.message).join(', ');
      findings.push(source.findingAt(path, `the name "${name}" is not valid`, fix, 'key'));
    }
    const checked = checkValue(source, schema, raw, path);
    findings.push(...checked.findings);
    if (checked.value !== undefined) items.set(name, createItem(name, checked.value));
  }
  return { items, findings };
}
