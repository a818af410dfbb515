/**
 * Access to the properties of values that are not validated yet.
 */

export type UncheckedProperties = Readonly<Record<string, unknown>>;

/** The properties of a mapping; empty if the value is not a mapping. */
export function propertiesOf(value: unknown): UncheckedProperties {
  const isMapping = typeof value === 'object' && value !== null && !Array.isArray(value);
  return isMapping ? (value as UncheckedProperties) : {};
}
