/**
 * Generates entries as another writer may leave them: a sound entry of which one field is of another type, beyond all
 * bounds or missing, text that is none, and values that are very long or very deeply nested.
 */
import fc from 'fast-check';

const MARK = '@@odd@@';

function nest(depth: number, open: string, close: string): string {
  return open.repeat(depth) + close.repeat(depth);
}

/** JSON texts that are odd in the place of nearly every field. */
const ODD_JSON = [
  ...['null', 'true', '""', '"text"', '"\\u0000"', '"300.0.0.1:9100"', '"10.0.0.9:99999"', '[]'],
  ...['{}', '[null]', '-1', '-0', '0', '1.5', '1e400', '-1e400', '1e300', '9007199254740993'],
  ...['4294967296', '1e-320', '"NaN"', '"__proto__"', '{"__proto__":{"a":1}}'],
  nest(10_000, '[', ']'),
  `${'{"a":'.repeat(10_000)}1${'}'.repeat(10_000)}`,
  `"${'x'.repeat(200_000)}"`,
  `[${Array(50_000).fill('"a"').join(',')}]`,
];

/** Texts that are odd as a whole value. */
const ODD_TEXT = [
  ...['', ' ', '{', 'null', '[]', '{}', '5', '"text"', '\u0000\u0001', '\ufffd\ufffd', '\ufeff{}'],
  nest(400_000, '[', ']'),
  nest(400_000, '[', ''),
  'x'.repeat(1_000_000),
];

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null;

/** Paths of all fields and array items of a value. */
function pathsOf(value: unknown): string[][] {
  if (!isObject(value)) return [];
  return Object.entries(value).flatMap(([name, inner]) => [
    [name],
    ...pathsOf(inner).map((rest) => [name, ...rest]),
  ]);
}

function replaceAt(value: unknown, [name, ...rest]: readonly string[], next: unknown): unknown {
  if (name === undefined) return next;
  if (!isObject(value)) return value;
  const replaced = replaceAt(value[name], rest, next);
  return Array.isArray(value)
    ? value.map((item: unknown, index) => (String(index) === name ? replaced : item))
    : { ...value, [name]: replaced };
}

/** Text of a sound value with an oddity in at most three places, or odd text. */
export function oddText(sound: object): fc.Arbitrary<string> {
  const change = fc.tuple(
    fc.constantFrom(...pathsOf(sound)),
    fc.option(fc.constantFrom(...ODD_JSON), { nil: undefined }),
  );
  const changed = fc.array(change, { minLength: 1, maxLength: 3 }).map((changes) => {
    // The odd texts are put in at the end, because some cannot be parsed and written again.
    const marked = changes.reduce<unknown>(
      (value, [path, odd], index) =>
        replaceAt(value, path, odd === undefined ? undefined : `${MARK}${String(index)}`),
      sound,
    );
    return changes.reduce(
      (text, [, odd], index) => text.replace(`"${MARK}${String(index)}"`, () => odd ?? ''),
      JSON.stringify(marked),
    );
  });
  return fc.oneof({ weight: 9, arbitrary: changed }, fc.constantFrom(...ODD_TEXT));
}

/** Names below a prefix, sound and odd ones. */
export const oddName: fc.Arbitrary<string> = fc.oneof(
  fc.constantFrom('', '/', 'a/b', 'a/', 'a b', 'a\nb', '\u0001', 'ñ', '__proto__', 'x/cancelled'),
  fc.stringMatching(/^[a-z]{6}$/),
);
