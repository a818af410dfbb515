/**
 * Formats tables for the terminal, optionally in colour. Control characters are replaced, because
 * values come over the network.
 */

export type Tone = 'good' | 'warning' | 'bad';

export interface Column<Row> {
  readonly title: string;
  readonly value: (row: Row) => string;
  readonly align?: 'left' | 'right';
  readonly tone?: (row: Row) => Tone | undefined;
}

const RESET = '\u001b[0m';
const BOLD = '\u001b[1m';
const TONES: Readonly<Record<Tone, string>> = {
  good: '\u001b[32m',
  warning: '\u001b[33m',
  bad: '\u001b[31m',
};

/** Formats a header line and one line per row, with aligned columns. */
export function formatTable<Row>(
  columns: readonly Column<Row>[],
  rows: readonly Row[],
  colours: boolean,
): readonly string[] {
  const cells = rows.map((row) => columns.map((column) => sanitize(column.value(row))));
  const widths = columns.map((column, index) =>
    Math.max(column.title.length, ...cells.map((line) => line[index]?.length ?? 0)),
  );
  const pad = (text: string, index: number) => {
    const width = widths[index] ?? 0;
    return columns[index]?.align === 'right' ? text.padStart(width) : text.padEnd(width);
  };
  const header = columns
    .map(({ title }, index) => pad(title, index))
    .join('  ')
    .trimEnd();
  const lines = rows.map((row, line) =>
    columns
      .map((column, index) => {
        const text = pad(cells[line]?.[index] ?? '', index);
        return paint(text, column.tone?.(row), colours);
      })
      .join('  ')
      .trimEnd(),
  );
  return [colours ? `${BOLD}${header}${RESET}` : header, ...lines];
}

/** Replaces control characters, which could move the cursor or hide text. */
export function sanitize(text: string): string {
  return text.replace(/\p{Cc}/gu, '?');
}

function paint(text: string, tone: Tone | undefined, colours: boolean): string {
  return colours && tone !== undefined ? `${TONES[tone]}${text}${RESET}` : text;
}
