/**
 * Handles all requests that reach an entry host, from callers and from peers: finds the home of an id that
 * the caller chose, lets the home decide whether the request runs, and passes the request to the component
 * that runs its class.
 */
import { createHash } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import type { SubmissionResult } from '../callers/index.js';
import type { Claims } from '../claims/index.js';
import type { Membership } from '../hosts/index.js';
import type { Metrics } from '../metrics/index.js';
import {
  refuse,
  unknownOutcome,
  type Host,
  type Outcome,
  type Worker,
  type WorkRequest,
} from '../model/index.js';
import { locateHome, type RequestIdHomes, type RequestTable } from '../requests/index.js';
import { neverFits } from '../scheduling/index.js';
import type { Timeline } from '../timeline/index.js';
import type { RequestForwarder } from './forwarding.js';
import type { InteractiveRunner } from './interactive.js';
import type { JobCoordinator } from './jobs.js';
import { recordOutcome } from './metering.js';
import type { ForwardMessage, ForwardReply } from './messages.js';

export interface RequestService {
  /** Handles a request from a caller. */
  submit(request: WorkRequest): Promise<SubmissionResult>;
  /** Handles a request that a peer forwarded. */
  receive(message: ForwardMessage): Promise<ForwardReply>;
}

interface RequestServiceOptions {
  readonly host: Host;
  readonly dataCentres: readonly string[];
  readonly membership: Membership;
  readonly claims: Claims;
  readonly homes: RequestIdHomes;
  readonly forwarder: RequestForwarder;
  readonly interactive: InteractiveRunner;
  readonly jobs: JobCoordinator;
  readonly table: RequestTable;
  readonly timeline: Timeline;
  readonly connected: () => readonly string[];
  readonly metrics: Metrics;
  readonly now: () => number;
}

const HOME_POLL_MS = 20;

/** The subject of a claim on an id bucket. */
export function bucketSubject(bucket: number): string {
  return `bucket:${String(bucket)}`;
}

export function createRequestService(options: RequestServiceOptions): RequestService {
  const { host, homes, forwarder, interactive, jobs, table, timeline } = options;

  async function submit(request: WorkRequest): Promise<SubmissionResult> {
    timeline.record({
      kind: 'received',
      request: request.id,
      team: request.team,
      detail: request.entry,
    });
    const result = await (request.callerId ? submitAtHome(request) : dispatch(request));
    const recordMetrics = (outcome: Outcome) => {
      recordOutcome(options.metrics, request, outcome, options.now());
    };
    if (result.kind === 'outcome') recordMetrics(result.outcome);
    else void result.outcome.then(recordMetrics);
    return result;
  }

  /** Only the home of an id may decide whether the request runs. */
  async function submitAtHome(request: WorkRequest): Promise<SubmissionResult> {
    const home = await awaitHome(request);
    if (home === host.id) return decideAsHome(request);
    if (home === undefined || request.hops.length > 1) return homeUnreachableResult(request);
    const forwarded = await forwarder.forward(home, {
      stage: 'home',
      request: { ...request, hops: [...request.hops, host.id] },
    });
    if (forwarded.kind === 'not-sent') return homeUnreachableResult(request);
    if (forwarded.kind === 'outcome') return forwarded;
    return {
      kind: 'accepted',
      outcome: forwarder.awaitOutcome(forwarded.host, request.team, request.id),
    };
  }

  /** A bucket has no home for a moment while its home changes; nothing was sent yet, so waiting is safe. */
  async function awaitHome(request: WorkRequest): Promise<string | undefined> {
    for (;;) {
      const home = findHome(request);
      if (home !== undefined || options.now() + HOME_POLL_MS >= request.startBefore) return home;
      await delay(HOME_POLL_MS, undefined, { ref: false });
    }
  }

  /** The home itself, or a linked host of the home's data centre, which knows the home. */
  function findHome({ team, id }: WorkRequest): string | undefined {
    const { dataCentre, bucket } = locateHome(team, id, options.dataCentres);
    if (dataCentre === host.dataCentre) {
      return findOwner(bucketSubject(bucket));
    }
    const live = new Set(options.membership.live(dataCentre));
    return options.connected().find((peer) => live.has(peer));
  }

  function findOwner(subject: string): string | undefined {
    const owner = options.claims.ownerOf(subject);
    if (owner === undefined || owner.released === true) return undefined;
    if (owner.host !== host.id) return isReachable(owner.host) ? owner.host : undefined;
    return options.claims.owned().some((claim) => claim.subject === subject) ? host.id : undefined;
  }

  function isReachable(peer: string): boolean {
    return options.connected().includes(peer);
  }

  async function decideAsHome(request: WorkRequest): Promise<SubmissionResult> {
    const { team, id } = request;
    const admission = await homes.admit(team, id, digestOf(request));
    if (admission === 'run') return runAdmitted(request);
    if (admission.kind === 'repeat') return { kind: 'accepted', outcome: admission.outcome };
    timeline.record({ kind: admission.kind, request: id, team, detail: admission.detail });
    return { kind: 'outcome', outcome: admission };
  }

  async function runAdmitted(request: WorkRequest): Promise<SubmissionResult> {
    const { team, id } = request;
    const result = await dispatch({ ...request, hops: [] });
    const complete = (outcome: Outcome) => {
      homes.complete(team, id, outcome);
      return outcome;
    };
    if (result.kind === 'outcome') return { kind: 'outcome', outcome: complete(result.outcome) };
    return { kind: 'accepted', outcome: result.outcome.then(complete) };
  }

  /** Runs a request that needs no decision of a home any more. */
  async function dispatch(request: WorkRequest): Promise<SubmissionResult> {
    const workers = options.membership
      .dataCentres()
      .map((dataCentre) => options.membership.workers(dataCentre));
    if (fitsNowhere(request, workers))
      return { kind: 'outcome', outcome: refuseNeverFits(request) };
    if (request.class !== 'interactive') return jobs.submit(request);
    table.add(request);
    const outcome = interactive.run(request).then((ended) => {
      table.end(request.team, request.id, ended);
      return ended;
    });
    return { kind: 'accepted', outcome };
  }

  async function receive(message: ForwardMessage): Promise<ForwardReply> {
    const { request, stage } = message;
    const result = stage === 'home' ? await submitAtHome(request) : await place(request);
    if (result.kind === 'outcome') return result;
    if (request.class !== 'interactive') return { kind: 'accepted', host: host.id };
    return { kind: 'outcome', outcome: await result.outcome };
  }

  async function place(request: WorkRequest): Promise<SubmissionResult> {
    if (request.class !== 'interactive') return jobs.accept(request);
    return { kind: 'outcome', outcome: await interactive.run(request) };
  }

  return { submit, receive };
}

/** An empty host list proves nothing, so such requests are queued or refused for lack of capacity. */
function fitsNowhere(
  request: WorkRequest,
  workersByDataCentre: readonly (readonly Worker[])[],
): boolean {
  const listed = workersByDataCentre.filter((workers) => workers.length > 0);
  return listed.length > 0 && listed.every((workers) => neverFits(request, workers));
}

function refuseNeverFits({ entry, size, tasks }: WorkRequest): Outcome {
  const demand = `${String(tasks)} task(s) of ${String(size.processors)} processors, ${String(size.memoryMb)} MB and ${String(size.accelerators)} accelerators`;
  return refuse(
    'never-fits',
    `No data centre could run ${demand} even when empty; make the entry "${entry}" smaller.`,
  );
}

/** An earlier attempt with this id may have run, so this is not a refusal. */
function homeUnreachableResult({ id }: WorkRequest): SubmissionResult {
  const detail = `The host that remembers id ${id} cannot be reached, so an earlier attempt with this id may have run. This attempt did not; ask for the status later.`;
  return { kind: 'outcome', outcome: unknownOutcome(detail) };
}

/** Two requests with one id are the same request only if entry and input are the same. */
function digestOf({ entry, input, contentType }: WorkRequest): string {
  return createHash('sha256')
    .update(`${entry}\n${contentType}\n`)
    .update(input)
    .digest('base64url');
}
