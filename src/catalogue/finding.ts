/**
 * Findings are mistakes in a text that an operator wrote. All findings of a file are collected and
 * reported together.
 */

/** One mistake, its place and what to write instead. */
export interface Finding {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly problem: string;
  readonly fix: string;
}

/** One line in the form that editors and terminals turn into a link to the place. */
export function formatFinding(finding: Finding): string {
  const { file, line, column, problem, fix } = finding;
  return `${file}:${String(line)}:${String(column)}: ${problem}; ${fix}`;
}
