/**
 * Permits of the advice service: which workers may run a step, and the tickets that prove it.
 *
 * Answers two patterns. "An urgent question behind a long one": the service serves one call at a time for
 * each calling host, and a call for a wide step takes up to a second, so long calls leave some hosts free
 * for short ones. "More questions than the service can answer": questions are asked in the order in which
 * their steps get workers, and each host has the next short call under way while one is decided. "A pool of
 * hundreds of workers": a question names only the workers with the most room, and asks for others when nothing
 * else waits.
 */
import type { EventLog, Meters } from '../observability/index.js';
import type { AdviceAnswer, AdviceCaller } from '../peers/index.js';
import type { AdviceTiming } from '../queues/index.js';

/** A ticket is not used when it has less than this left; the order takes a store write and a call. */
const TICKET_MARGIN_MS = 200;
/** A call longer than this counts as long. */
const LONG_CALL_MS = 60;
/** Part of the hosts that long calls leave free, and the least number of them. */
const RESERVED_PART = 0.15;
const MIN_RESERVED_CALLERS = 2;
/**
 * Decision time of the calls that one host may have under way. The way to the service and back through the
 * other host takes up to 30 ms, in which two or three short questions are decided.
 */
const UNDER_WAY_MS = 40;
/** Pause of a caller after a failed call. */
const FAILURE_PAUSE_MS = 300;
/** Workers that a question names; with 70, naming them takes as long as the decision itself. */
const NAMED_WORKERS = 48;
/** A wide step needs more: a third of the workers may run it, and each has room for a task or two. */
const NAMED_PER_TASK = 3;
/** Bound on the workers that one call may name. */
const MAX_WORKERS_PER_CALL = 100;

interface Permit {
  readonly allowed: boolean;
  readonly ticket: string;
  readonly validUntil: number;
  /** The life of the worker that the ticket holds for. */
  readonly born: number;
}

interface Question {
  readonly step: string;
  readonly workers: ReadonlyMap<string, number>;
  readonly askedAt: number;
  readonly expectedMs: number;
}

interface StepPermits {
  readonly permits: Map<string, Permit>;
  /** A call is under way. */
  pending: boolean;
}

interface Missing {
  readonly workers: Map<string, number>;
  /** The step can start on other workers already, so its question goes after all others. */
  readonly further: boolean;
}

interface CallerLoad {
  /** Calls under way. */
  calls: number;
  /** Decision time of the calls under way. */
  expectedMs: number;
  /** A long call is under way. */
  long: boolean;
  /** A call failed a moment ago. */
  paused: boolean;
}

export interface PermitClient {
  /**
   * Asks for what is missing: workers that were never named and, if `renew`, tickets that run out.
   * The requests come in the order in which their steps get workers and replace those that wait.
   */
  requestMissing(requests: readonly PermitRequest[]): void;
  /** A ticket that is valid long enough to order a start; undefined if there is none. */
  ticket(step: string, worker: string, born: number): string | undefined;
  /** Whether the worker may run the step; undefined if the service was not asked. */
  isAllowed(step: string, worker: string): boolean | undefined;
  /** A worker refused a ticket. */
  invalidate(step: string, worker: string): void;
  forget(step: string): void;
  /** Starts calls that wait for a host. */
  dispatchQueued(): void;
}

export interface PermitRequest {
  readonly step: string;
  readonly terms: AdviceTiming;
  /** Tasks that wait. */
  readonly tasks: number;
  /** Maps the id of each usable worker to the start of its life, those with the most room first. */
  readonly workers: ReadonlyMap<string, number>;
  readonly renew: boolean;
}

export interface PermitClientOptions {
  readonly callers: () => readonly AdviceCaller[];
  readonly events: EventLog;
  readonly meters: Meters;
  readonly onPermits: () => void;
  readonly now?: () => number;
}

export function createPermitClient(options: PermitClientOptions): PermitClient {
  const { events, meters, now = () => performance.now() } = options;
  const steps = new Map<string, StepPermits>();
  const loads = new Map<string, CallerLoad>();
  /** Questions that wait for a caller, the next one first. */
  let questions: Question[] = [];

  function dispatchQueued() {
    const remaining: Question[] = [];
    const callers = options.callers().filter(({ name }) => !loadOf(name).paused);
    let full = false;
    for (const question of questions) {
      const caller = full ? undefined : chooseCaller(callers, question);
      if (caller !== undefined) {
        void ask(caller, question);
        continue;
      }
      remaining.push(question);
      // Where a short call finds no host, none of the others does.
      if (!isLong(question)) full = true;
    }
    questions = remaining;
  }

  /** A long call may go behind short ones, which delay it little, but nothing goes behind a long one. */
  function chooseCaller(
    callers: readonly AdviceCaller[],
    question: Question,
  ): AdviceCaller | undefined {
    const fitting = isLong(question)
      ? callers.filter(({ name }) => !loadOf(name).long)
      : callers.filter((caller) => isIdle(caller) || fitsBehind(caller, question));
    const share = Math.ceil(callers.length * RESERVED_PART);
    const reserved = Math.min(Math.max(MIN_RESERVED_CALLERS, share), callers.length - 1);
    if (isLong(question) && fitting.length <= reserved) return undefined;
    return fitting.sort(
      (left, right) => loadOf(left.name).expectedMs - loadOf(right.name).expectedMs,
    )[0];
  }

  function isIdle({ name }: AdviceCaller): boolean {
    return loadOf(name).calls === 0;
  }

  function fitsBehind({ name }: AdviceCaller, { expectedMs }: Question): boolean {
    return loadOf(name).expectedMs + expectedMs <= UNDER_WAY_MS;
  }

  function loadOf(caller: string): CallerLoad {
    let load = loads.get(caller);
    if (load === undefined) {
      load = { calls: 0, expectedMs: 0, long: false, paused: false };
      loads.set(caller, load);
    }
    return load;
  }

  async function ask(caller: AdviceCaller, question: Question): Promise<void> {
    const load = loadOf(caller.name);
    const known = steps.get(question.step);
    if (known !== undefined) known.pending = true;
    load.calls += 1;
    load.expectedMs += question.expectedMs;
    if (isLong(question)) load.long = true;
    const sentAt = now();
    const answer = await caller.advise(question.step, [...question.workers.keys()]);
    load.calls -= 1;
    // Sums of fractions leave a rest that is not zero.
    load.expectedMs = load.calls === 0 ? 0 : load.expectedMs - question.expectedMs;
    if (isLong(question)) load.long = false;
    meters.adviceCalls.inc({ outcome: answer === undefined ? 'failed' : 'answered' });
    settle(question, answer, sentAt);
    events.info('permits-answered', {
      step: question.step,
      caller: caller.name,
      named: question.workers.size,
      granted: answer?.permits.length,
      waitedMs: Math.round(sentAt - question.askedAt),
      tookMs: Math.round(now() - sentAt),
      expectedMs: Math.round(question.expectedMs),
      waiting: questions.length,
    });
    if (answer === undefined) {
      load.paused = true;
      setTimeout(() => {
        load.paused = false;
        dispatchQueued();
      }, FAILURE_PAUSE_MS).unref();
      return;
    }
    options.onPermits();
    dispatchQueued();
  }

  function settle(question: Question, answer: AdviceAnswer | undefined, sentAt: number) {
    const known = steps.get(question.step);
    if (known === undefined) return;
    known.pending = false;
    if (answer === undefined) return;
    const tickets = new Map(answer.permits.map(({ worker, ticket }) => [worker, ticket]));
    // The decision may have been made at any moment of the call; the answer's own way is short.
    const validFrom = Math.max(sentAt, now() - TICKET_MARGIN_MS / 2);
    for (const [worker, born] of question.workers) {
      const ticket = tickets.get(worker);
      known.permits.set(worker, {
        allowed: ticket !== undefined,
        ticket: ticket ?? '',
        validUntil: validFrom + answer.validMs,
        born,
      });
    }
  }

  function isFresh(permit: Permit, born: number, leadMs: number): boolean {
    return permit.born === born && permit.validUntil - now() > leadMs;
  }

  /** Workers to name in the next call for the step; none while a call is under way. */
  function missingFor({ step, terms, workers, tasks, renew }: PermitRequest): Missing {
    const unnamed = new Map<string, number>();
    const runningOut = new Map<string, number>();
    const known = steps.get(step) ?? { permits: new Map<string, Permit>(), pending: false };
    steps.set(step, known);
    if (known.pending) return { workers: unnamed, further: false };
    const most = Math.min(MAX_WORKERS_PER_CALL, Math.max(NAMED_WORKERS, tasks * NAMED_PER_TASK));
    const leadMs = TICKET_MARGIN_MS + callMs(terms, known.permits.size);
    for (const [worker, born] of workers) {
      const permit = known.permits.get(worker);
      if (permit === undefined) {
        if (unnamed.size < most) unnamed.set(worker, born);
      } else if (permit.allowed && renew && !isFresh(permit, born, leadMs)) {
        if (runningOut.size < MAX_WORKERS_PER_CALL) runningOut.set(worker, born);
      }
    }
    if (runningOut.size > 0) return { workers: runningOut, further: false };
    return { workers: unnamed, further: known.permits.size > 0 };
  }

  return {
    requestMissing: (requests) => {
      const askedAt = new Map(questions.map((question) => [question.step, question.askedAt]));
      const first: Question[] = [];
      const further: Question[] = [];
      for (const request of requests) {
        const missing = missingFor(request);
        const { workers } = missing;
        if (workers.size === 0) continue;
        const expectedMs = callMs(request.terms, workers.size);
        // A short further question costs little, and the workers that were named may be full by now.
        const isFurther = missing.further && expectedMs > LONG_CALL_MS;
        (isFurther ? further : first).push({
          step: request.step,
          workers,
          askedAt: askedAt.get(request.step) ?? now(),
          expectedMs,
        });
      }
      questions = [...first, ...further];
      dispatchQueued();
    },
    ticket: (step, worker, born) => {
      const permit = steps.get(step)?.permits.get(worker);
      if (permit?.allowed !== true || !isFresh(permit, born, TICKET_MARGIN_MS)) return undefined;
      return permit.ticket;
    },
    isAllowed: (step, worker) => steps.get(step)?.permits.get(worker)?.allowed,
    invalidate: (step, worker) => {
      const known = steps.get(step);
      const permit = known?.permits.get(worker);
      if (permit !== undefined) known?.permits.set(worker, { ...permit, validUntil: 0 });
    },
    forget: (step) => {
      steps.delete(step);
      questions = questions.filter((question) => question.step !== step);
    },
    dispatchQueued,
  };
}

function isLong({ expectedMs }: Question): boolean {
  return expectedMs > LONG_CALL_MS;
}

function callMs(terms: AdviceTiming, workers: number): number {
  return terms.decideMs + terms.perWorkerMs * workers;
}
