/**
 * Access to mappings whose contents are not checked yet.
 */

export type UncheckedProperties = Readonly<Record<string, unknown>>;

/** The members of a mapping; none if the value is something else. */
export function propertiesOf(value: unknown): UncheckedProperties {
  const isMapping = typeof value === 'object' && value !== null && !Array.isArray(value);
  return isMapping ? (value as UncheckedProperties) : {};
}
