/**
 * Sends the answers of tasks to callers, delayed, cut short or swapped if a test has enabled these faults.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { HANDLED, dropConnection, sendReply, type Call } from '../http.js';
import type { WorkerSettings } from './spec.js';
import type { TaskAnswer } from './task-executor.js';

export const TASK_HEADER = 'sapphirewing-task';
const ENDED_HEADER = 'sapphirewing-ended';

export interface AnswerSender {
  send(call: Call, answer: TaskAnswer): Promise<typeof HANDLED>;
}

interface PendingAnswer {
  readonly call: Call;
  readonly answer: TaskAnswer;
}

export function createAnswerSender(settings: () => WorkerSettings): AnswerSender {
  let pending: PendingAnswer | undefined;

  function swapAnswers(call: Call, answer: TaskAnswer): void {
    if (pending === undefined) {
      pending = { call, answer };
      return;
    }
    settings().crossAnswers -= 1;
    write(call, pending.answer);
    write(pending.call, answer);
    pending = undefined;
  }

  return {
    send: async (call, answer) => {
      const { answerDelayMs } = settings();
      if (answerDelayMs > 0) await delay(answerDelayMs);
      if (settings().cutAnswers > 0) {
        settings().cutAnswers -= 1;
        return sendTruncated(call, answer);
      }
      if (settings().crossAnswers > 0) swapAnswers(call, answer);
      else write(call, answer);
      return HANDLED;
    },
  };
}

function write({ response }: Call, answer: TaskAnswer): void {
  sendReply(response, {
    status: answer.status,
    headers: createHeaders(answer),
    body: answer.body,
  });
}

/** Sends the headers and half of the body, then destroys the connection. */
function sendTruncated(call: Call, answer: TaskAnswer): typeof HANDLED {
  const { body, status } = answer;
  if (body.byteLength === 0) return dropConnection(call);
  call.response.writeHead(status, {
    ...createHeaders(answer),
    'content-length': body.byteLength,
  });
  call.response.write(body.subarray(0, Math.floor(body.byteLength / 2)), () => {
    dropConnection(call);
  });
  return HANDLED;
}

function createHeaders(answer: TaskAnswer): Record<string, string> {
  return {
    'content-type': answer.contentType,
    [TASK_HEADER]: encodeURIComponent(answer.task),
    ...(answer.ended === undefined ? {} : { [ENDED_HEADER]: answer.ended }),
  };
}
