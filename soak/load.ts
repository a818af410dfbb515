/**
 * Generates the load of a soak: callers submit jobs over keep-alive connections, retry at another host, poll job
 * states and cancel jobs. They record every state that a host reports.
 */
import { Agent, request } from 'undici';
import type { Random } from '../stand-ins/random.js';
import { sleep } from './proxy.js';

export interface SoakStep {
  readonly count: number;
  readonly cpu: number;
  readonly after: readonly number[];
}

export interface ReportedState {
  readonly at: number;
  readonly host: string;
  /** Job state, or the HTTP status of a response without one. */
  readonly state: string;
}

/** A job from its caller's point of view; times are in Unix milliseconds. */
export interface SoakJob {
  readonly id: string;
  readonly steps: readonly SoakStep[];
  readonly key: string;
  /** Run time of each task. */
  readonly workMs: number;
  /** Submissions that were answered with 200. */
  readonly accepted: { readonly sentAt: number; readonly answeredAt: number }[];
  /** All submissions were refused, so the job must never run. */
  refused: boolean;
  cancelAcknowledgedAt: number | undefined;
  cancelSent: boolean;
  readonly reportedStates: ReportedState[];
}

export interface Load {
  readonly jobs: readonly SoakJob[];
  /** Stops submitting jobs; resolves when all pending calls have ended. */
  stop(): Promise<void>;
  /** Queries a host for the state of a job. */
  queryState(url: string, job: SoakJob): Promise<string>;
  close(): Promise<void>;
}

export interface LoadOptions {
  readonly hosts: readonly { readonly name: string; readonly url: string }[];
  readonly callers: number;
  readonly keys: readonly string[];
  readonly random: Random;
}

const ATTEMPTS = 4;
const CALL_TIMEOUT_MS = 3000;
const PAUSE_BETWEEN_JOBS_MS = 150;
const PAUSE_BETWEEN_ATTEMPTS_MS = 300;
const STATE_POLLS = 6;
const MAX_POLL_INTERVAL_MS = 400;
const CANCELLED_FRACTION = 0.12;
const MAX_WORK_MS = 900;

export function startLoad(options: LoadOptions): Load {
  const { hosts, random } = options;
  const jobs: SoakJob[] = [];
  let stopped = false;

  function drawJob(caller: number): SoakJob {
    const id = Array.from({ length: 16 }, () => Math.floor(random() * 16).toString(16)).join('');
    const draw = (after: readonly number[]) => ({
      count: 1 + Math.floor(random() * 4),
      cpu: 500 + Math.floor(random() * 2500),
      after,
    });
    const steps = random() < 0.3 ? [draw([]), draw([0])] : [draw([])];
    const key = options.keys[caller % options.keys.length] ?? '';
    return {
      id,
      steps,
      key,
      workMs: 30 + Math.floor(random() * MAX_WORK_MS),
      accepted: [],
      refused: false,
      cancelAcknowledgedAt: undefined,
      cancelSent: false,
      reportedStates: [],
    };
  }

  async function sendRequest(
    agent: Agent,
    method: 'GET' | 'POST' | 'DELETE',
    url: string,
    job: SoakJob,
  ) {
    const spec = JSON.stringify({ ms: job.workMs });
    const steps = job.steps.map(({ count, cpu, after }) => ({
      count,
      cpu,
      after,
      'mem-mb': 100,
      'estimate-ms': MAX_WORK_MS / 2,
    }));
    try {
      const answer = await request(`${url}/lookups/${job.id}`, {
        method,
        dispatcher: agent,
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        headers: {
          host: 'lawns.example',
          authorization: `Bearer ${job.key}`,
          'X-Sapphirewing-Request-Deadline': String(CALL_TIMEOUT_MS),
        },
        body: method === 'POST' ? JSON.stringify({ spec, steps }) : null,
      });
      return { status: answer.statusCode, body: await answer.body.text() };
    } catch {
      return { status: 0, body: '' };
    }
  }

  async function submit(agent: Agent, job: SoakJob, firstHost: number): Promise<boolean> {
    let refusals = 0;
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const host = hosts[(firstHost + attempt) % hosts.length];
      if (host === undefined) return false;
      const sentAt = Date.now();
      const { status } = await sendRequest(agent, 'POST', host.url, job);
      if (status === 200) {
        job.accepted.push({ sentAt, answeredAt: Date.now() });
        return true;
      }
      if (status === 503 || status === 401) refusals += 1;
      await sleep(PAUSE_BETWEEN_ATTEMPTS_MS);
    }
    job.refused = refusals === ATTEMPTS;
    return false;
  }

  async function pollState(agent: Agent, job: SoakJob) {
    const host = hosts[Math.floor(random() * hosts.length)];
    if (host === undefined) return;
    const { status, body } = await sendRequest(agent, 'GET', host.url, job);
    if (status === 0) return;
    job.reportedStates.push({ at: Date.now(), host: host.name, state: readState(status, body) });
  }

  async function cancel(agent: Agent, job: SoakJob, firstHost: number) {
    await sleep(random() * MAX_WORK_MS);
    job.cancelSent = true;
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const host = hosts[(firstHost + attempt) % hosts.length];
      const { status } = await sendRequest(agent, 'DELETE', host?.url ?? '', job);
      if (status !== 200 && status !== 410) continue;
      job.cancelAcknowledgedAt = Date.now();
      return;
    }
  }

  async function runCaller(caller: number) {
    const agent = new Agent({ connections: 1 });
    while (!stopped) {
      const job = drawJob(caller);
      jobs.push(job);
      const isCancelled = random() < CANCELLED_FRACTION;
      if (await submit(agent, job, caller)) {
        if (isCancelled) await cancel(agent, job, caller);
        for (let count = 0; count < STATE_POLLS && !hasEnded(job); count += 1) {
          await sleep(MAX_POLL_INTERVAL_MS * random());
          await pollState(agent, job);
        }
      }
      await sleep(PAUSE_BETWEEN_JOBS_MS);
    }
    await agent.close();
  }

  const queryAgent = new Agent({ connections: 1 });
  const callers = Array.from({ length: options.callers }, (_, caller) => runCaller(caller));
  return {
    jobs,
    stop: async () => {
      stopped = true;
      await Promise.all(callers);
    },
    queryState: async (url, job) => {
      const { status, body } = await sendRequest(queryAgent, 'GET', url, job);
      return readState(status, body);
    },
    close: () => queryAgent.close(),
  };
}

function hasEnded({ reportedStates }: SoakJob): boolean {
  return ['completed', 'failed', 'cancelled'].includes(reportedStates.at(-1)?.state ?? '');
}

function readState(status: number, body: string): string {
  if (status !== 200) return String(status);
  return (JSON.parse(body) as { state?: string }).state ?? String(status);
}
