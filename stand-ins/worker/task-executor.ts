/**
 * Simulates the tasks of one worker: admission, run time, leases, and the answers of ended tasks.
 */
import { randomUUID } from 'node:crypto';
import type { Audit, Run, RunOutcome } from './audit.js';
import { parseTaskBehaviour, type TaskBehaviour, type Resources, type WorkerSpec } from './spec.js';

export interface TaskAnswer {
  readonly task: string;
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Why the worker ended the task; absent if the task ended by itself. */
  readonly ended?: RunOutcome;
}

export interface StartRequest {
  readonly task: string;
  readonly team: string;
  readonly entry: string;
  readonly class: string;
  readonly size: Resources;
  readonly chargedTo: string;
  readonly epoch: number;
  readonly leaseMs: number;
  readonly maxRunMs: number;
  readonly input: Uint8Array;
  readonly contentType: string;
}

export type StartRefusal =
  'stale-epoch' | 'epoch-not-raised' | 'leaving' | 'id-seen' | 'no-capacity';

export interface Task {
  readonly run: Run;
  readonly answer: Promise<TaskAnswer>;
}

export interface TaskExecutor {
  bootId(): string;
  epoch(): number;
  /** False if the current epoch is higher, or is the same and belongs to another holder. */
  raiseEpoch(epoch: number, holder: string): boolean;
  start(request: StartRequest, options: StartOptions): Task | StartRefusal;
  find(task: string): Task | undefined;
  running(): readonly Task[];
  renew(leaseMs: number): void;
  stop(task: string): void;
  throttle(task: string, fraction: number): void;
  /** Tasks that were running at the given time, with the fraction of their processors that they may use. */
  runningAt(at: number): readonly { readonly run: Run; readonly fraction: number }[];
  setFrozen(frozen: boolean): void;
  /** Resolves once the worker is not frozen. */
  waitWhileFrozen(): Promise<void>;
  /** Drops all state except the audit, as a machine that crashes and restarts does. */
  reboot(): void;
}

export interface StartOptions {
  readonly leaving: boolean;
  readonly fail: boolean;
}

interface LiveTask extends Task {
  readonly behaviour: TaskBehaviour;
  readonly request: StartRequest;
  readonly runUntil: number;
  readonly resolve: (answer: TaskAnswer) => void;
  leaseUntil: number;
  /** Work that was left when `fraction` last changed, in milliseconds at full speed. */
  remainingWorkMs: number;
  fractionChangedAt: number;
  fraction: number;
  timer?: NodeJS.Timeout;
}

interface EndedTask extends Task {
  readonly endedAt: number;
  readonly fraction: number;
}

const MAX_TIMER_MS = 2 ** 31 - 1;
const FILLER = 'x';

export function createTaskExecutor(spec: WorkerSpec, audit: Audit): TaskExecutor {
  let bootId: string = randomUUID();
  let epoch = 0;
  let holder = '';
  let frozen = false;
  let frozenWaiters: (() => void)[] = [];
  const live = new Map<string, LiveTask>();
  const ended = new Map<string, EndedTask>();

  function refuseStart(request: StartRequest, leaving: boolean): StartRefusal | undefined {
    // Checked first, because any other reason tells the caller that the task has not run.
    if (live.has(request.task) || ended.has(request.task)) return 'id-seen';
    if (request.epoch < epoch) return 'stale-epoch';
    if (request.epoch > epoch) return 'epoch-not-raised';
    if (leaving) return 'leaving';
    const exceeded = audit.exceededBy(request.size, live.values());
    const detail = 'refused a start over capacity';
    for (const kind of exceeded) {
      audit.addViolation({ kind, effect: 'attempted', task: request.task, detail });
    }
    return exceeded.length > 0 ? 'no-capacity' : undefined;
  }

  function start(request: StartRequest, { leaving, fail }: StartOptions): Task | StartRefusal {
    evictEndedTasks();
    const refusal = refuseStart(request, leaving);
    if (refusal !== undefined) return refusal;
    const behaviour = fail ? { status: 500, runMs: 0 } : parseTaskBehaviour(request.input);
    const task = createLiveTask(request, behaviour, bootId);
    live.set(request.task, task);
    audit.addRun(task.run, live.values());
    schedule(task);
    return task;
  }

  function evictEndedTasks(): void {
    const oldest = Date.now() - spec.rememberMs;
    for (const [id, { endedAt }] of ended) {
      if (endedAt > oldest) return;
      ended.delete(id);
    }
  }

  function schedule(task: LiveTask): void {
    clearTimeout(task.timer);
    const delayMs = Math.max(0, nextEvent(task).at - Date.now());
    task.timer = setTimeout(
      () => {
        endIfDue(task);
      },
      Math.min(delayMs, MAX_TIMER_MS),
    );
  }

  function endIfDue(task: LiveTask): void {
    if (frozen) return;
    const event = nextEvent(task);
    if (event.at > Date.now()) schedule(task);
    else end(task, event.outcome);
  }

  function end(task: LiveTask, outcome: RunOutcome): void {
    clearTimeout(task.timer);
    const { run, fraction, answer } = task;
    live.delete(run.task);
    const result = createAnswer(task, outcome);
    const endedAt = Date.now();
    Object.assign(run, { end: endedAt, status: result.status });
    run.outcome = outcome === 'answered' && result.status >= 500 ? 'failed' : outcome;
    ended.set(run.task, { run, answer, endedAt, fraction });
    task.resolve(result);
  }

  function throttle(id: string, fraction: number): void {
    const task = live.get(id);
    if (task === undefined) return;
    const now = Date.now();
    task.remainingWorkMs -= (now - task.fractionChangedAt) * task.fraction;
    task.fractionChangedAt = now;
    task.fraction = fraction;
    schedule(task);
  }

  function setFrozen(next: boolean): void {
    frozen = next;
    if (frozen) return;
    for (const task of [...live.values()]) endIfDue(task);
    for (const wake of frozenWaiters) wake();
    frozenWaiters = [];
  }

  function reboot(): void {
    for (const task of live.values()) {
      clearTimeout(task.timer);
      Object.assign(task.run, { end: Date.now(), outcome: 'lost' satisfies RunOutcome });
    }
    live.clear();
    ended.clear();
    bootId = randomUUID();
    epoch = 0;
    holder = '';
  }

  return {
    bootId: () => bootId,
    epoch: () => epoch,
    raiseEpoch: (next, nextHolder) => {
      if (next < epoch || (next === epoch && nextHolder !== holder)) return false;
      epoch = next;
      holder = nextHolder;
      return true;
    },
    start,
    find: (id) => live.get(id) ?? ended.get(id),
    running: () => [...live.values()],
    renew: (leaseMs) => {
      for (const task of live.values()) {
        task.leaseUntil = Date.now() + leaseMs;
        schedule(task);
      }
    },
    stop: (id) => {
      const task = live.get(id);
      if (task !== undefined) end(task, 'stopped');
    },
    throttle,
    runningAt: (at) => {
      const recent = [...ended.values()].filter(({ endedAt }) => endedAt > at);
      return [...live.values(), ...recent].filter(({ run }) => run.start <= at);
    },
    setFrozen,
    waitWhileFrozen: () =>
      frozen ? new Promise((resolve) => frozenWaiters.push(resolve)) : Promise.resolve(),
    reboot,
  };
}

function createLiveTask(request: StartRequest, behaviour: TaskBehaviour, bootId: string): LiveTask {
  const now = Date.now();
  const isService = request.class === 'service';
  const { task, team, entry, size, chargedTo, epoch } = request;
  const taskClass = request.class;
  let resolve: (answer: TaskAnswer) => void = () => undefined;
  const answer = new Promise<TaskAnswer>((settled) => {
    resolve = settled;
  });
  return {
    run: {
      task,
      team,
      entry,
      class: taskClass,
      size,
      chargedTo,
      epoch,
      bootId,
      start: now,
      outcome: 'running',
      checkpoints: 0,
    },
    answer,
    behaviour,
    request,
    resolve,
    runUntil: isService ? Number.POSITIVE_INFINITY : now + request.maxRunMs,
    leaseUntil: now + request.leaseMs,
    remainingWorkMs: behaviour.runMs ?? (isService ? Number.POSITIVE_INFINITY : 0),
    fractionChangedAt: now,
    fraction: 1,
  };
}

/** Next event that ends the task if nothing changes. A lease that expires at the same time takes precedence. */
function nextEvent(task: LiveTask): { readonly at: number; readonly outcome: RunOutcome } {
  const finishAt = task.fractionChangedAt + task.remainingWorkMs / task.fraction;
  const { leaseUntil, runUntil } = task;
  if (leaseUntil <= Math.min(finishAt, runUntil))
    return { at: leaseUntil, outcome: 'lease-expired' };
  return runUntil < finishAt
    ? { at: runUntil, outcome: 'run-limit' }
    : { at: finishAt, outcome: 'answered' };
}

function createAnswer(task: LiveTask, outcome: RunOutcome): TaskAnswer {
  const { request, behaviour } = task;
  const id = request.task;
  if (outcome !== 'answered') {
    const body = Buffer.from(JSON.stringify({ ended: outcome }));
    return { task: id, status: 500, contentType: 'application/json', body, ended: outcome };
  }
  const { status = 200, answerBytes, echo } = behaviour;
  if (answerBytes !== undefined) {
    return { task: id, status, contentType: 'text/plain', body: Buffer.alloc(answerBytes, FILLER) };
  }
  if (echo !== undefined) {
    const body = Buffer.from(JSON.stringify(echo));
    return { task: id, status, contentType: 'application/json', body };
  }
  return { task: id, status, contentType: request.contentType, body: request.input };
}
