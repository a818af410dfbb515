/**
 * Parses and validates YAML files that operators write and keeps the position of every value. The
 * catalogue and the daemon's settings both use this module, so that their findings have the same
 * form.
 */
import { isAlias, isMap, isScalar, isSeq, LineCounter, parseDocument, visit } from 'yaml';
import type { Document, Node, Pair, YAMLError, YAMLMap } from 'yaml';
import type { z } from 'zod';
import type { Finding } from './finding.js';

/** Keys and indices that lead to a value. */
export type Path = readonly PropertyKey[];

/** A parsed text. If it has syntax errors, the value contains only what could be parsed. */
export interface SourceDocument {
  readonly file: string;
  readonly value: unknown;
  /** Syntax errors and duplicate keys. */
  readonly findings: readonly Finding[];
  /** Creates a finding at the value of a path, or at the nearest enclosing key if there is none. */
  findingAt(path: Path, problem: string, fix: string, target?: 'key' | 'value'): Finding;
}

/** A validated value, or undefined if it has findings. */
export interface CheckResult<T> {
  readonly value: T | undefined;
  readonly findings: readonly Finding[];
}

/** Findings omit the values of these fields, because they are written to logs and terminals. */
const SECRET_FIELDS: readonly PropertyKey[] = ['secret'];
const MAX_VALUE_CHARS = 40;
const SYNTAX_FIX = 'correct the YAML syntax here';

/** Parses a YAML text; errors become findings of the result. */
export function parseSource(text: string, file: string): SourceDocument {
  const lines = new LineCounter();
  const document = parseDocument(text, {
    lineCounter: lines,
    prettyErrors: false,
    uniqueKeys: false,
  });
  const findingAtOffset = (offset: number, problem: string, fix: string): Finding => {
    const { line, col } = lines.linePos(offset);
    return { file, line: Math.max(line, 1), column: Math.max(col, 1), problem, fix };
  };
  const value = toPlainValue(document);
  return {
    file,
    value: value.data,
    findings: [
      ...[...document.errors, ...document.warnings].map((error: YAMLError) =>
        findingAtOffset(error.pos[0], firstLine(error.message), SYNTAX_FIX),
      ),
      ...findDuplicates(document, lines, findingAtOffset),
      ...(value.problem === undefined ? [] : [findingAtOffset(0, value.problem, SYNTAX_FIX)]),
    ],
    findingAt: (path, problem, fix, target = 'value') =>
      findingAtOffset(findOffset(document, path, target), problem, fix),
  };
}

/** Validates the value at a path and maps each issue to its position. */
export function checkValue<T>(
  source: SourceDocument,
  schema: z.ZodType<T>,
  value: unknown,
  path: Path,
): CheckResult<T> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return { value: parsed.data, findings: [] };
  const findings = parsed.error.issues.flatMap((issue) =>
    describeIssue(source, issue, value, path),
  );
  return { value: undefined, findings: removeDuplicateFindings(findings) };
}

/** Sorts findings by their position in the text. */
export function sortFindings(findings: readonly Finding[]): readonly Finding[] {
  return findings.toSorted((left, right) => left.line - right.line || left.column - right.column);
}

function toPlainValue(document: Document): { data?: unknown; problem?: string } {
  try {
    return { data: document.toJS() };
  } catch (error) {
    return { problem: error instanceof Error ? firstLine(error.message) : 'unreadable alias' };
  }
}

function firstLine(text: string): string {
  return text.split('\n', 1).join('');
}

function findDuplicates(
  document: Document,
  lines: LineCounter,
  findingAtOffset: (offset: number, problem: string, fix: string) => Finding,
): readonly Finding[] {
  const findings: Finding[] = [];
  visit(document, {
    Map(_, map) {
      const firstOffsets = new Map<string, number>();
      for (const pair of map.items) {
        const name = keyOf(pair);
        const offset = offsetOf(pair.key) ?? 0;
        const first = firstOffsets.get(name);
        if (first === undefined) {
          firstOffsets.set(name, offset);
          continue;
        }
        const line = String(lines.linePos(first).line);
        findings.push(
          findingAtOffset(
            offset,
            `duplicate name "${name}", first used on line ${line}`,
            'rename or remove one of the two',
          ),
        );
      }
    },
  });
  return findings;
}

function findOffset(document: Document, path: Path, target: 'key' | 'value'): number {
  let node: unknown = document.contents;
  let offset = offsetOf(node) ?? 0;
  for (const [depth, segment] of path.entries()) {
    const resolved: unknown = isAlias(node) ? node.resolve(document) : node;
    const isLast = depth === path.length - 1;
    if (isMap(resolved)) {
      const pair = findPair(resolved, segment);
      if (pair === undefined) return offset;
      const keyOffset = offsetOf(pair.key) ?? offset;
      node = pair.value;
      offset = isLast && target === 'value' ? (offsetOf(node) ?? keyOffset) : keyOffset;
    } else if (isSeq(resolved)) {
      node = resolved.items[Number(segment)];
      offset = offsetOf(node) ?? offset;
    } else {
      return offset;
    }
  }
  return offset;
}

function findPair(map: YAMLMap, segment: PropertyKey): Pair | undefined {
  // Of duplicate keys, the last one determines the document's value.
  return map.items.findLast((pair) => keyOf(pair) === String(segment));
}

function keyOf(pair: Pair): string {
  return String(isScalar(pair.key) ? pair.key.value : pair.key);
}

function offsetOf(node: unknown): number | undefined {
  return (node as Node | null | undefined)?.range?.[0];
}

function describeIssue(
  source: SourceDocument,
  issue: z.core.$ZodIssue,
  value: unknown,
  base: Path,
): readonly Finding[] {
  const path = [...base, ...issue.path];
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) =>
      source.findingAt([...path, key], `unknown field "${key}"`, issue.message, 'key'),
    );
  }
  const name = String(path.at(-1) ?? 'the file');
  const found = issue.path.reduce<unknown>(readProperty, value);
  if (found === undefined) {
    return [source.findingAt(path, `"${name}" is missing`, issue.message)];
  }
  const problem = SECRET_FIELDS.includes(name)
    ? `"${name}" is not valid`
    : `"${name}" is ${describeValue(found)}`;
  return [source.findingAt(path, problem, issue.message)];
}

function readProperty(value: unknown, key: PropertyKey): unknown {
  if (typeof value !== 'object' || value === null) return undefined;
  return (value as Record<PropertyKey, unknown>)[key];
}

function describeValue(value: unknown): string {
  if (value === null) return 'empty';
  if (Array.isArray(value)) return 'a list';
  if (typeof value === 'object') return 'a mapping';
  const text = JSON.stringify(value);
  return text.length > MAX_VALUE_CHARS ? `${text.slice(0, MAX_VALUE_CHARS)}…` : text;
}

/** A value that breaks several rules of one field is reported once. */
function removeDuplicateFindings(findings: readonly Finding[]): readonly Finding[] {
  const seen = new Set<string>();
  return findings.filter((finding) => {
    const key = `${String(finding.line)}:${String(finding.column)}:${finding.problem}`;
    if (seen.has(key)) return false;
    seen.add(key);
    return true;
  });
}
