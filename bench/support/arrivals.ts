/**
 * Open-loop load generator: sends requests at random times that do not depend on the answers, over keep-alive
 * connections to all entry hosts.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { Pool } from 'undici';
import { v7 as mintId } from 'uuid';
import type { EntryProcess } from '../../stand-ins/cell.js';
import { secretOf, type RequestStream } from './workload.js';

/** Outcome of a request from its caller's point of view. */
export type RequestResult = 'done' | 'accepted' | 'refused' | 'unknown' | 'failed' | 'pending';

export interface SentRequest {
  readonly stream: RequestStream;
  readonly submittedAt: number;
  id: string;
  result: RequestResult;
  reason: string;
  answeredAt: number;
}

export interface Callers {
  /** Sends requests for the planned duration; resolves when the last one was sent. */
  offer(plan: OfferPlan): Promise<readonly SentRequest[]>;
  submit(stream: RequestStream, input: object): Promise<SentRequest>;
  /** Waits until all requests sent so far are answered, at most `waitMs`. */
  settle(waitMs: number): Promise<void>;
  close(): Promise<void>;
}

export interface OfferPlan {
  readonly streams: readonly RequestStream[];
  /** Mean number of slots that the offered work would occupy. */
  readonly slots: number;
  readonly durationMs: number;
  readonly maxRequests: number;
}

/** Limits the sockets of the benchmark; shared by all callers of a host. */
const CONNECTIONS_PER_HOST = 600;
/** Echoed by the tasks, so that response bodies have a few hundred bytes. */
const INPUT_PADDING = 'x'.repeat(200);
const SETTLE_POLL_MS = 20;
/** Sigma of the log-normal run times; a tenth of them exceed 3.6 times the median. */
const RUN_SIGMA = 1;

export function createCallers(hosts: readonly EntryProcess[], random: () => number): Callers {
  const pools = hosts.map(({ url }) => new Pool(url, { connections: CONNECTIONS_PER_HOST }));
  let outstanding = 0;

  async function send(sent: SentRequest, input: object): Promise<void> {
    const pool = pools[Math.floor(random() * pools.length)];
    if (pool === undefined) return;
    const { entry, key, kind } = sent.stream;
    outstanding += 1;
    try {
      const answer = await pool.request({
        method: 'POST',
        path: '/v1/requests',
        headers: {
          'content-type': 'application/json',
          ...(key !== undefined && { authorization: `Bearer ${secretOf(key)}` }),
        },
        body: JSON.stringify({ entry, input, ...(kind === 'booking' && { id: sent.id }) }),
      });
      const body = await answer.body.text();
      const id = answer.headers['sapphirewing-request'];
      if (typeof id === 'string') sent.id = id;
      sent.result = resultOf(answer.statusCode);
      if (sent.result !== 'done') sent.reason = reasonOf(body);
    } catch (error) {
      sent.result = 'failed';
      sent.reason = error instanceof Error ? error.message : String(error);
    }
    sent.answeredAt = Date.now();
    outstanding -= 1;
  }

  function start(
    stream: RequestStream,
    input: object,
  ): { sent: SentRequest; answered: Promise<void> } {
    const sent: SentRequest = {
      stream,
      submittedAt: Date.now(),
      id: stream.kind === 'booking' ? mintId() : '',
      result: 'pending',
      reason: '',
      answeredAt: 0,
    };
    return { sent, answered: send(sent, input) };
  }

  async function offer({ streams, slots, durationMs, maxRequests }: OfferPlan) {
    const all: SentRequest[] = [];
    const begin = Date.now();
    const rates = streams.map(({ part, meanRunMs, tasks }) => (slots * part) / meanRunMs / tasks);
    const due = rates.map((rate) => begin + drawGap(rate, random));
    while (Date.now() < begin + durationMs && all.length < maxRequests) {
      streams.forEach((stream, index) => {
        for (; (due[index] ?? Infinity) <= Date.now();) {
          const input = { runMs: drawRunMs(stream.meanRunMs, random), echo: INPUT_PADDING };
          all.push(start(stream, input).sent);
          due[index] = (due[index] ?? 0) + drawGap(rates[index] ?? 0, random);
        }
      });
      await delay(1);
    }
    return all;
  }

  return {
    offer,
    submit: async (stream, input) => {
      const { sent, answered } = start(stream, input);
      await answered;
      return sent;
    },
    settle: async (waitMs) => {
      const giveUpAt = Date.now() + waitMs;
      while (outstanding > 0 && Date.now() < giveUpAt) await delay(SETTLE_POLL_MS);
    },
    close: async () => {
      await Promise.all(pools.map((pool) => pool.destroy()));
    },
  };
}

function resultOf(status: number): RequestResult {
  if (status === 200) return 'done';
  if (status === 202) return 'accepted';
  return status === 504 ? 'unknown' : 'refused';
}

function reasonOf(body: string): string {
  const reason = /"reason":"(?<reason>[\w-]+)"/.exec(body)?.groups?.reason;
  return reason ?? body.slice(0, 80);
}

function drawGap(ratePerMs: number, random: () => number): number {
  return -Math.log(1 - random()) / ratePerMs;
}

/** Draws from a log-normal distribution with the given mean. */
function drawRunMs(mean: number, random: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.round(mean * Math.exp(RUN_SIGMA * normal - RUN_SIGMA ** 2 / 2));
}
