/**
 * Sets of indexes as sorted spans of consecutive ones. Tasks are done nearly in the order of their indexes, so the
 * set of those that are done stays short however many they are.
 */

/** First and last index of a span. */
export type Span = [first: number, last: number];

/** Position of the first span that ends at the index or behind it. */
function findPosition(spans: readonly Span[], index: number): number {
  let low = 0;
  let high = spans.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((spans[middle]?.[1] ?? Infinity) < index) low = middle + 1;
    else high = middle;
  }
  return low;
}

export function hasIndex(spans: readonly Span[], index: number): boolean {
  const found = spans[findPosition(spans, index)];
  return found !== undefined && found[0] <= index;
}

export function addIndex(spans: Span[], index: number): void {
  const position = findPosition(spans, index);
  const after = spans[position];
  if (after !== undefined && after[0] <= index) return;
  const before = spans[position - 1];
  const joinsBefore = before?.[1] === index - 1;
  const joinsAfter = after?.[0] === index + 1;
  if (joinsBefore && joinsAfter) {
    before[1] = after[1];
    spans.splice(position, 1);
  } else if (joinsBefore) before[1] = index;
  else if (joinsAfter) after[0] = index;
  else spans.splice(position, 0, [index, index]);
}
