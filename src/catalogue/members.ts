/**
 * Access to mappings whose contents are not checked yet.
 */

export type Members = Readonly<Record<string, unknown>>;

/** The members of a mapping; none if the value is something else. */
export function membersOf(value: unknown): Members {
  const isMapping = typeof value === 'object' && value !== null && !Array.isArray(value);
  return isMapping ? (value as Members) : {};
}
