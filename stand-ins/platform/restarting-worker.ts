/**
 * Stand-in for a worker that crashes and starts again under its id and address. Calls that the former incarnation has
 * not answered are carried out by the later one as soon as it is up, which the protocol permits: they name the worker's
 * id only, and a call without an answer may be executed later.
 */
import { Agent, request } from 'undici';
import { pause } from '../../src/records/index.js';
import { HANDLED, listen } from '../http.js';
import type { Call, HandlerResult, Listener } from '../http.js';
import { startWorker } from './worker.js';
import type { WorkerStandIn, WorkerStandInOptions } from './worker.js';

export interface RestartOptions {
  /** Time that the answers of the later incarnation take to arrive. */
  readonly answerDelayMs?: number;
}

export interface RestartingWorker extends Listener {
  readonly former: WorkerStandIn;
  /** Ends the former incarnation and its tasks without notice. Calls are kept, and the registry entry stays. */
  crash(): Promise<void>;
  /** Starts the later incarnation, which does not write its registry entry. */
  restart(options?: RestartOptions): Promise<WorkerStandIn>;
  /** From now on no call arrives and no answer leaves, but tasks continue. */
  cut(): void;
}

export type RestartingWorkerOptions = Omit<WorkerStandInOptions, 'advertise' | 'born' | 'listed'>;

export async function startRestartingWorker(
  options: RestartingWorkerOptions,
): Promise<RestartingWorker> {
  const agent = new Agent();
  let isCut = false;
  let delayMs = 0;
  let current: WorkerStandIn | undefined;
  let later: WorkerStandIn | undefined;
  const isReachable = () => !isCut;
  const waiting: (() => void)[] = [];

  /** Returns undefined if the incarnation has not answered. */
  async function forward(call: Call, { url }: WorkerStandIn): Promise<HandlerResult | undefined> {
    try {
      const path = call.request.url ?? '/';
      const { body } = call;
      const answer = await request(`${url}${path}`, { method: 'POST', dispatcher: agent, body });
      return { status: answer.statusCode, body: await answer.body.json() };
    } catch {
      return undefined;
    }
  }

  async function handle(call: Call): Promise<HandlerResult> {
    while (isReachable()) {
      const incarnation = current;
      if (incarnation === undefined) {
        await new Promise<void>((resolve) => waiting.push(resolve));
        continue;
      }
      const result = await forward(call, incarnation);
      if (delayMs > 0) await pause(delayMs);
      // The later incarnation carries out what the former has left unanswered.
      if (result === undefined && incarnation === current) return HANDLED;
      if (result !== undefined && isReachable()) return result;
    }
    return HANDLED;
  }

  const paths = ['/run-start', '/run-stop', '/hold'];
  const listener = await listen({
    routes: paths.map((path) => ({ method: 'POST', path, handle })),
  });
  const advertise = () => Promise.resolve(new URL(listener.url).host);
  const former = await startWorker({ ...options, advertise });
  current = former;

  return {
    url: listener.url,
    former,
    crash: async () => {
      current = undefined;
      await former.close();
    },
    restart: async ({ answerDelayMs = 0 } = {}) => {
      delayMs = answerDelayMs;
      later = await startWorker({ ...options, uptimeMs: 0, listed: false, advertise });
      current = later;
      for (const resume of waiting.splice(0)) resume();
      return later;
    },
    cut: () => {
      isCut = true;
    },
    close: async () => {
      isCut = true;
      for (const resume of waiting.splice(0)) resume();
      await agent.destroy();
      await Promise.all([former.close(), later?.close(), listener.close()]);
    },
  };
}
