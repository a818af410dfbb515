/**
 * Findings are errors in a file that an operator wrote. All findings of a file are collected and
 * reported together.
 */

/** An error, its position and how to fix it. */
export interface Finding {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly problem: string;
  readonly fix: string;
}

/** Formats a finding as one line that editors and terminals turn into a link to its position. */
export function formatFinding(finding: Finding): string {
  const { file, line, column, problem, fix } = finding;
  return `${file}:${String(line)}:${String(column)}: ${problem}; ${fix}`;
}
