/**
 * A host's link to the present leader. It dials again after each loss and answers the leader's requests
 * for advice.
 */
import { Packr } from 'msgpackr';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { WebSocket } from 'ws';
import type { RelayedAnswer, RelayedCall, RelayFailure, RelaySender } from '../intake/index.js';
import type { Job, JobState } from '../jobs/index.js';
import type { EventLog } from '../observability/index.js';
import type { AdviceAnswer } from './hub.js';
import type { AdviceRequest, PeerMessage } from './messages.js';

export interface LeaderLink {
  /** Connects to this address; undefined disconnects. */
  setLeaderAddress(address: string | undefined): void;
  /** Tells the leader, if it is connected, of a job that this host has accepted. */
  announceAccepted(job: Job): void;
  /** Hands a caller's call to the leader. */
  readonly relay: RelaySender;
  close(): void;
}

export interface LeaderLinkOptions {
  readonly host: string;
  /** What this host has, in cores. */
  readonly processors: number;
  readonly events: EventLog;
  /**
   * The leader's port refuses connections after a link to it was lost, so its process is gone, or it says
   * that the store turns it away.
   */
  readonly onLeaderUnavailable: () => void;
  readonly advise: (step: string, workers: readonly string[]) => Promise<AdviceAnswer | undefined>;
  /** The leader knows that the job is completed, although the store does not. */
  readonly onCompletion: (job: string) => void;
  /** A job that this host accepted has ended. */
  readonly onEnd: (job: string, state: JobState) => void;
  /** Jobs that a former leader told this host to be completed. */
  readonly completions: () => readonly string[];
}

/** Pause before dialling again. */
const REDIAL_MS = 200;
/** The first dial after a loss comes at once, to tell a dead process from a broken connection. */
const FIRST_REDIAL_MS = 20;
/** A dial that hangs is behind a partition. */
const DIAL_TIMEOUT_MS = 1000;
/** A silent link is noticed by a ping without a pong after this. */
const PING_INTERVAL_MS = 2000;

export function createLeaderLink(options: LeaderLinkOptions): LeaderLink {
  const { host, events } = options;
  const packr = new Packr({ useRecords: false });
  let target: string | undefined;
  let socket: WebSocket | undefined;
  /** Calls that the leader has not answered. */
  const relayed = new Map<number, (answer: Result<RelayedAnswer, RelayFailure>) => void>();
  let nextCall = 1;
  /** A call was not answered in time and the leader has sent nothing since; the link may be cut. */
  let silent = false;
  /** A link to the present leader was open once. */
  let wasOpen = false;

  async function answer(from: WebSocket, request: AdviceRequest) {
    const result = await options.advise(request.step, request.workers);
    if (from.readyState !== WebSocket.OPEN) return;
    from.send(
      packr.pack({
        kind: 'advice-response',
        id: request.id,
        permits: result?.permits ?? [],
        validMs: result?.validMs ?? 0,
        failure: result === undefined ? 'the advice service did not answer' : '',
      }),
    );
  }

  function dial(address: string) {
    const dialled = new WebSocket(`ws://${address}`, {
      handshakeTimeout: DIAL_TIMEOUT_MS,
      perMessageDeflate: false,
    });
    socket = dialled;
    let alive = true;
    const pinger = setInterval(() => {
      if (!alive) dialled.terminate();
      alive = false;
      if (dialled.readyState === WebSocket.OPEN) dialled.ping();
    }, PING_INTERVAL_MS);
    pinger.unref();
    let opened = false;
    dialled.on('open', () => {
      opened = true;
      wasOpen = true;
      silent = false;
      dialled.send(
        packr.pack({
          kind: 'hello',
          host,
          processors: options.processors,
          completed: options.completions(),
        }),
      );
      events.info('leader-link-connected', { address });
    });
    dialled.on('pong', () => {
      alive = true;
      silent = false;
    });
    dialled.on('message', (data) => {
      silent = false;
      try {
        const message = packr.unpack(data as Buffer) as PeerMessage;
        if (message.kind === 'advice-request') void answer(dialled, message);
        if (message.kind === 'call-response') relayed.get(message.id)?.(ok(message.answer));
        if (message.kind === 'leader-turned-away') options.onLeaderUnavailable();
        if (message.kind === 'job-completed') options.onCompletion(message.job);
        if (message.kind === 'job-ended') options.onEnd(message.job, message.state);
      } catch (error) {
        events.warn('peer-message-malformed', { address, error: String(error) });
        dialled.terminate();
      }
    });
    dialled.on('error', (error) => {
      events.debug('leader-link-failed', { address, error: error.message });
      const { code } = error as NodeJS.ErrnoException;
      if (code === 'ECONNREFUSED' && wasOpen && socket === dialled) options.onLeaderUnavailable();
    });
    dialled.on('close', () => {
      clearInterval(pinger);
      if (socket !== dialled) return;
      socket = undefined;
      failRelayed();
      if (opened) events.info('leader-link-lost', { address });
      setTimeout(
        () => {
          if (socket === undefined && target !== undefined) dial(target);
        },
        opened ? FIRST_REDIAL_MS : REDIAL_MS,
      ).unref();
    });
  }

  function failRelayed() {
    for (const settle of [...relayed.values()]) settle(err('no-answer'));
  }

  function relay(call: RelayedCall, timeoutMs: number) {
    return new Promise<Result<RelayedAnswer, RelayFailure>>((resolve) => {
      if (socket?.readyState !== WebSocket.OPEN || silent) {
        resolve(err('not-sent'));
        return;
      }
      const id = nextCall;
      nextCall += 1;
      const settle = (answer: Result<RelayedAnswer, RelayFailure>) => {
        clearTimeout(timer);
        relayed.delete(id);
        resolve(answer);
      };
      const timer = setTimeout(() => {
        silent = true;
        settle(err('no-answer'));
      }, timeoutMs);
      relayed.set(id, settle);
      socket.send(packr.pack({ kind: 'call-request', id, call }));
    });
  }

  function setLeaderAddress(address: string | undefined) {
    if (address === target) return;
    target = address;
    wasOpen = false;
    const former = socket;
    socket = undefined;
    former?.terminate();
    failRelayed();
    if (address !== undefined) dial(address);
  }

  return {
    setLeaderAddress,
    relay,
    announceAccepted: (job) => {
      if (socket?.readyState !== WebSocket.OPEN) return;
      socket.send(packr.pack({ kind: 'job-accepted', job }));
    },
    close: () => {
      setLeaderAddress(undefined);
    },
  };
}
