/**
 * Adds and removes keys in a configuration text. The edits are made on the YAML document, which
 * keeps the operators' comments.
 */
import { err, type Result } from 'neverthrow';
import { isMap, isScalar, parseDocument, type Document, type Pair, type YAMLMap } from 'yaml';
import type { ApiKey } from '../model/index.js';
import { parseCatalogue } from './catalogue.js';
import type { Finding } from './finding.js';

/** Why a key could not be added or removed. */
export type KeyEditError =
  | { readonly kind: 'exists' | 'absent'; readonly id: string }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] };

/** Folded lines inside long values would make later edits and diffs hard to read. */
const WITHOUT_LINE_FOLDING = { lineWidth: 0 };

/** Adds a key; the result is a valid configuration text. */
export function addKey(text: string, key: ApiKey): Result<string, KeyEditError> {
  return editKeys(
    text,
    (document, keys) => {
      if (keys.has(key.id)) return 'exists';
      // An empty section is written as {}, which would put the new key on the same line.
      if (keys.items.length === 0) keys.flow = false;
      const { id, team, hash, role } = key;
      keys.set(document.createNode(id), document.createNode({ team, hash, role }));
      return undefined;
    },
    key.id,
  );
}

/** Removes a key and the comment that directly precedes it. */
export function removeKey(text: string, id: string): Result<string, KeyEditError> {
  return editKeys(
    text,
    (_, keys) => {
      const index = keys.items.findIndex((pair) => keyOf(pair) === id);
      const removed = keys.items[index];
      if (removed === undefined) return 'absent';
      preserveHeadingComments(keys, removed, keys.items[index + 1]);
      keys.items.splice(index, 1);
      return undefined;
    },
    id,
  );
}

function editKeys(
  text: string,
  change: (document: Document, keys: YAMLMap) => 'exists' | 'absent' | undefined,
  id: string,
): Result<string, KeyEditError> {
  const before = parseCatalogue(text);
  if (before.isErr()) return err({ kind: 'invalid', findings: before.error });
  const document = parseDocument(text);
  const problem = change(document, keysOf(document));
  if (problem !== undefined) return err({ kind: problem, id });
  const edited = document.toString(WITHOUT_LINE_FOLDING);
  return parseCatalogue(edited)
    .map(() => edited)
    .mapErr((findings): KeyEditError => ({ kind: 'invalid', findings }));
}

function keysOf(document: Document): YAMLMap {
  const found: unknown = document.get('keys');
  if (isMap(found)) return found;
  const created = document.createNode({}) as YAMLMap;
  document.set('keys', created);
  return created;
}

function keyOf(pair: Pair): string {
  return String(isScalar(pair.key) ? pair.key.value : pair.key);
}

/**
 * Comments above a blank line are headings of all keys that follow, not only of the removed key, so
 * they move to the next key, or to the end of the section.
 */
function preserveHeadingComments(keys: YAMLMap, removed: Pair, next: Pair | undefined): void {
  const comment = isScalar(removed.key) ? (removed.key.commentBefore ?? '') : '';
  const end = comment.lastIndexOf('\n\n');
  if (end === -1) return;
  const kept = comment.slice(0, end);
  if (next !== undefined && isScalar(next.key)) {
    const existing = next.key.commentBefore;
    next.key.commentBefore = existing ? `${kept}\n\n${existing}` : kept;
    next.key.spaceBefore = true;
    return;
  }
  keys.comment = keys.comment ? `${kept}\n\n${keys.comment}` : kept;
}
