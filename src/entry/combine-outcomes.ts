/**
 * The outcome of a request with several tasks.
 */
import { unknownOutcome, type DoneOutcome, type Outcome } from '../model/index.js';
import type { TaskOutcome } from '../workers/index.js';

const HTTP_OK = 200;

/** One outcome for the whole gang; a task that may have run makes the gang unknown. */
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
  return describeAnswers(outcomes.filter((outcome) => 'body' in outcome));
}

type Answered = Pick<DoneOutcome, 'status' | 'contentType' | 'body' | 'worker'>;

function describeAnswers(answers: readonly Answered[]): DoneOutcome {
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
