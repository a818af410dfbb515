/**
 * Formats and parses the names of tasks and steps: job, occurrence, step and, for tasks, index, joined
 * by dots.
 */

export interface TaskName {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

export function formatTaskName(name: TaskName): string {
  return `${formatStepName(name)}.${String(name.index)}`;
}

export function formatStepName(name: Omit<TaskName, 'index'>): string {
  return `${name.job}.${String(name.occurrence)}.${String(name.step)}`;
}

/** Parses a task name; undefined if the text is not one. */
export function parseTaskName(text: string): TaskName | undefined {
  const match = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/.exec(text);
  if (match === null) return undefined;
  const [, job = '', occurrence, step, index] = match;
  return { job, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
}
