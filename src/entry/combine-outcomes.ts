/**
 * Combines the outcomes of several tasks into the outcome of their request.
 */
import { unknownOutcome, type DoneOutcome, type Outcome } from '../model/index.js';
import type { TaskOutcome } from '../workers/index.js';

const HTTP_OK = 200;

/** The gang is unknown if the outcome of a task is unknown or if only some of the tasks were refused. */
export function combineOutcomes(outcomes: readonly TaskOutcome[]): Outcome {
  const unknown = outcomes.find((outcome) => outcome.kind === 'unknown');
  if (unknown !== undefined) return unknown;
  const refused = outcomes.filter((outcome) => outcome.kind === 'refused');
  const [first] = refused;
  if (first !== undefined && refused.length === outcomes.length) return first;
  if (first !== undefined) {
    return unknownOutcome(
      `${String(refused.length)} of ${String(outcomes.length)} tasks did not start: ${first.detail}`,
    );
  }
  return combineAnswers(outcomes.filter((outcome) => 'body' in outcome));
}

type TaskAnswer = Pick<DoneOutcome, 'status' | 'contentType' | 'body' | 'worker'>;

function combineAnswers(answers: readonly TaskAnswer[]): DoneOutcome {
  const tasks = answers.map(({ status, contentType, body, worker }, task) => {
    const text = Buffer.from(body).toString('utf8');
    return { task, worker, status, contentType, answer: text };
  });
  return {
    kind: 'done',
    status: Math.max(HTTP_OK, ...answers.map(({ status }) => status)),
    contentType: 'application/json',
    body: Buffer.from(JSON.stringify({ tasks })),
    worker: answers.map(({ worker }) => worker).join(','),
  };
}
