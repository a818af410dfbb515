/**
 * Outcomes of requests as the commands print them.
 */
import { REFUSAL_STATUS, UNKNOWN_STATUS } from '../callers/index.js';
import { EXIT, type ExitCode } from './exit-code.js';
import type { HostResponse } from './host-client.js';
import { describeProblem, parseJson, parseProblem } from './problem-document.js';

/** An outcome: standard output, standard error and the exit code. */
export interface OutcomeReport {
  readonly exit: ExitCode;
  readonly output?: Buffer | string;
  readonly message?: string;
}

const DONE_STATUS = 200;
const ACCEPTED_STATUS = 202;
const REFUSED_STATUSES: readonly number[] = Object.values(REFUSAL_STATUS);
const FIRST_SERVER_ERROR = 500;
const FIRST_FAILED_TASK_STATUS = 400;

/** Describes the answer to a submission or to a question for its status. */
export function describeOutcome(answer: HostResponse, id: string, json: boolean): OutcomeReport {
  if (answer.status === DONE_STATUS && header(answer, 'sapphirewing-outcome') === 'done') {
    return describeDone(answer, id, json);
  }
  if (answer.status === ACCEPTED_STATUS) {
    const { state = 'queued' } = (parseJson(answer) ?? {}) as { state?: string };
    return { exit: EXIT.success, output: json ? answer.body : `${id} ${state}\n` };
  }
  const output = json ? answer.body : '';
  if (isRefused(answer)) return { exit: EXIT.refused, output, message: describeRefusal(answer) };
  const detail = describeProblem(answer);
  return {
    exit: EXIT.unknown,
    output,
    message: `${id} may have run: ${detail}. Ask again with: sapphirewing status ${id}`,
  };
}

/**
 * A server error is proof that the request did not run only if the host says so itself; a load
 * balancer uses the same codes for requests that it has passed on.
 */
function isRefused(answer: HostResponse): boolean {
  if (answer.status === UNKNOWN_STATUS) return false;
  if (answer.status >= FIRST_SERVER_ERROR) return parseProblem(answer).outcome === 'refused';
  return REFUSED_STATUSES.includes(answer.status);
}

function describeDone(answer: HostResponse, id: string, json: boolean): OutcomeReport {
  const worker = header(answer, 'sapphirewing-worker');
  const status = Number(header(answer, 'sapphirewing-task-status'));
  const contentType = header(answer, 'content-type');
  const failed = status >= FIRST_FAILED_TASK_STATUS;
  const message = `The task ran on ${String(worker)} and answered with status ${String(status)}.`;
  const body = answer.body.toString('base64');
  const output = json
    ? `${JSON.stringify({ outcome: 'done', id, worker, status, contentType, body }, null, 2)}\n`
    : answer.body;
  return { exit: EXIT.success, output, ...(failed && { message }) };
}

function describeRefusal(answer: HostResponse): string {
  const { findings } = (parseJson(answer) ?? {}) as {
    findings?: readonly { place?: unknown; problem?: unknown }[];
  };
  const mistakes = (findings ?? []).map(
    ({ place, problem }) => `${String(place)}: ${String(problem)}`,
  );
  return [describeProblem(answer), ...mistakes].join('\n');
}

function header(answer: HostResponse, name: string): string | undefined {
  const value = answer.headers[name];
  return typeof value === 'string' ? value : value?.[0];
}
