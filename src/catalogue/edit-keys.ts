/**
 * Adding and removing keys in a configuration text. The edits work on the YAML document, so that
 * the operators' comments stay.
 */
import { err, type Result } from 'neverthrow';
import { isMap, isScalar, parseDocument, type Document, type Pair, type YAMLMap } from 'yaml';
import type { ApiKey } from '../model/index.js';
import { parseCatalogue } from './catalogue.js';
import type { Finding } from './finding.js';

/** Why a key edit is not possible. */
export type KeyEditError =
  | { readonly kind: 'exists' | 'absent'; readonly id: string }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] };

/** Line breaks inside long values would make later edits and diffs hard to read. */
const NO_FOLDING = { lineWidth: 0 };

/** Adds a key; the result is a valid configuration text. */
export function addKey(text: string, key: ApiKey): Result<string, KeyEditError> {
  return edit(
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

/** Removes a key with the comment that directly precedes it. */
export function removeKey(text: string, id: string): Result<string, KeyEditError> {
  return edit(
    text,
    (_, keys) => {
      const index = keys.items.findIndex((pair) => keyOf(pair) === id);
      const removed = keys.items[index];
      if (removed === undefined) return 'absent';
      keepEarlierComments(keys, removed, keys.items[index + 1]);
      keys.items.splice(index, 1);
      return undefined;
    },
    id,
  );
}

function edit(
  text: string,
  change: (document: Document, keys: YAMLMap) => 'exists' | 'absent' | undefined,
  id: string,
): Result<string, KeyEditError> {
  const before = parseCatalogue(text);
  if (before.isErr()) return err({ kind: 'invalid', findings: before.error });
  const document = parseDocument(text);
  const problem = change(document, keysOf(document));
  if (problem !== undefined) return err({ kind: problem, id });
  const edited = document.toString(NO_FOLDING);
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
 * Comments above a blank line are headings of the keys that follow, not of the removed key alone;
 * they move to the next key, or to the end of the section.
 */
function keepEarlierComments(keys: YAMLMap, removed: Pair, next: Pair | undefined): void {
  const comment = isScalar(removed.key) ? (removed.key.commentBefore ?? '') : '';
  const end = comment.lastIndexOf('\n\n');
  if (end === -1) return;
  const kept = comment.slice(0, end);
  if (next !== undefined && isScalar(next.key)) {
    const own = next.key.commentBefore;
    next.key.commentBefore = own ? `${kept}\n\n${own}` : kept;
    next.key.spaceBefore = true;
    return;
  }
  keys.comment = keys.comment ? `${kept}\n\n${keys.comment}` : kept;
}
