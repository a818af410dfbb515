/**
 * Schemas of single fields. The error message of each schema is shown as the fix of a finding.
 */
import { z } from 'zod';

/**
 * Names are parts of URLs, store keys and task ids, where dots and slashes are separators.
 */
const NAME = /^[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?$/;
const NAME_FIX = 'write 1 to 63 lower-case letters, digits and inner hyphens';

export const nameField = z.string(NAME_FIX).regex(NAME, NAME_FIX);

export const booleanField = z.boolean('write true or false');

/** A mapping with exactly these fields. */
export function mapping<Shape extends z.core.$ZodLooseShape>(
  shape: Shape,
): z.ZodObject<Shape, z.core.$strict> {
  const fields = Object.keys(shape).join(', ');
  return z.strictObject(shape, {
    error: (issue) =>
      issue.code === 'unrecognized_keys'
        ? `remove it or use one of: ${fields}`
        : `write a mapping with the fields ${fields}`,
  });
}

/** A whole number of `unit` within bounds. */
export function wholeNumber(unit: string, min: number, max = Number.MAX_SAFE_INTEGER): z.ZodNumber {
  const bound =
    max === Number.MAX_SAFE_INTEGER
      ? `of at least ${String(min)}`
      : `from ${String(min)} to ${String(max)}`;
  const fix = `write a whole number of ${unit} ${bound}`;
  return z.number(fix).int(fix).min(min, fix).max(max, fix);
}

/** A number that may have a fraction. */
export function fraction(fix: string, min: number, max: number): z.ZodNumber {
  return z.number(fix).min(min, fix).max(max, fix);
}

export function positiveNumber(fix: string): z.ZodNumber {
  return z.number(fix).positive(fix);
}

/** One of the given words. */
export function oneOf<const Words extends readonly [string, ...string[]]>(words: Words) {
  return z.enum(words, `write one of: ${words.join(', ')}`);
}

/** A URL with one of the given protocols, such as `http:`. */
export function url(protocols: readonly string[]): z.ZodString {
  const fix = `write a URL that starts with ${protocols.map((p) => `${p}//`).join(' or ')}`;
  return z.string(fix).refine((text) => {
    return URL.canParse(text) && protocols.includes(new URL(text).protocol);
  }, fix);
}
