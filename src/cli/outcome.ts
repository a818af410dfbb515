/**
 * Formats the outcomes of requests for the terminal.
 */
import { REFUSAL_STATUS, UNKNOWN_STATUS } from '../callers/index.js';
import { EXIT, type ExitCode } from './exit-code.js';
import type { HostResponse } from './host-client.js';
import { describeProblem, parseJson, parseProblem } from './problem-document.js';

/** What a command prints for an outcome: `output` to stdout, `message` to stderr. */
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

/** Describes the response to a submission or a status query. */
export function describeOutcome(response: HostResponse, id: string, json: boolean): OutcomeReport {
  if (response.status === DONE_STATUS && header(response, 'sapphirewing-outcome') === 'done') {
    return describeDone(response, id, json);
  }
  if (response.status === ACCEPTED_STATUS) {
    const { state = 'queued' } = (parseJson(response) ?? {}) as { state?: string };
    return { exit: EXIT.success, output: json ? response.body : `${id} ${state}\n` };
  }
  const output = json ? response.body : '';
  if (isRefused(response))
    return { exit: EXIT.refused, output, message: describeRefusal(response) };
  const detail = describeProblem(response);
  return {
    exit: EXIT.unknown,
    output,
    message: `${id} may have run: ${detail}. Check with: sapphirewing status ${id}`,
  };
}

/**
 * A 5xx response proves that the request did not run only if the host itself says so; a load
 * balancer uses the same codes for requests that it has forwarded.
 */
function isRefused(response: HostResponse): boolean {
  if (response.status === UNKNOWN_STATUS) return false;
  if (response.status >= FIRST_SERVER_ERROR) return parseProblem(response).outcome === 'refused';
  return REFUSED_STATUSES.includes(response.status);
}

function describeDone(response: HostResponse, id: string, json: boolean): OutcomeReport {
  const worker = header(response, 'sapphirewing-worker');
  const status = Number(header(response, 'sapphirewing-task-status'));
  const contentType = header(response, 'content-type');
  const failed = status >= FIRST_FAILED_TASK_STATUS;
  const message = `The task ran on ${String(worker)} and answered with status ${String(status)}.`;
  const body = response.body.toString('base64');
  const output = json
    ? `${JSON.stringify({ outcome: 'done', id, worker, status, contentType, body }, null, 2)}\n`
    : response.body;
  return { exit: EXIT.success, output, ...(failed && { message }) };
}

function describeRefusal(response: HostResponse): string {
  const { findings } = (parseJson(response) ?? {}) as {
    findings?: readonly { place?: unknown; problem?: unknown }[];
  };
  const problems = (findings ?? []).map(
    ({ place, problem }) => `${String(place)}: ${String(problem)}`,
  );
  return [describeProblem(response), ...problems].join('\n');
}

function header(response: HostResponse, name: string): string | undefined {
  const value = response.headers[name];
  return typeof value === 'string' ? value : value?.[0];
}
