/**
 * A host's link to the present leader. It reconnects after each loss, answers the leader's advice
 * requests and forwards callers' calls to the leader.
 */
import { Packr } from 'msgpackr';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { WebSocket } from 'ws';
import type { AdviceAnswer } from '../advice/index.js';
import type { RelayedAnswer, RelayedCall, RelayFailure, RelaySender } from '../intake/index.js';
import type { Job, JobState, ReportedEnd } from '../jobs/index.js';
import type { Leader } from '../leadership/index.js';
import type { EventLog } from '../observability/index.js';
import { MAX_MESSAGE_BYTES } from './hub.js';
import type { AdviceRequest, PeerMessage } from './messages.js';

export interface LeaderLink {
  /**
   * Connects to the leader at this address; undefined disconnects. The former leader is told of `successor`, because it
   * may be cut off from the store.
   */
  setLeaderAddress(address: string | undefined, successor?: Leader): void;
  /** Notifies the leader, if it is connected, of a job that this host has accepted. */
  announceAccepted(job: Job, ageMs: number): void;
  /** Reports an end that this host, a former leader, has read from a worker. */
  reportEnd(end: ReportedEnd): void;
  /** Forwards a caller's call to the leader. */
  readonly relay: RelaySender;
  close(): void;
}

export interface LeaderLinkOptions {
  readonly host: string;
  /** Number of cores of this host. */
  readonly processors: number;
  readonly events: EventLog;
  /**
   * Called when the leader's port refuses connections after a link to it was lost, which means that its
   * process has ended, or when the leader reports that the store rejects it.
   */
  readonly onLeaderUnavailable: () => void;
  readonly advise: (step: string, workers: readonly string[]) => Promise<AdviceAnswer | undefined>;
  /** Called when a job that this host accepted has ended and its record is durable. */
  readonly onEnd: (job: string, state: JobState) => void;
}

/** Delay before the link is dialled again. */
const REDIAL_MS = 200;
/** The first redial after a loss is almost immediate, to tell a dead process from a broken connection. */
const FIRST_REDIAL_MS = 20;
/** Timeout of a dial; one that hangs indicates a network partition. */
const DIAL_TIMEOUT_MS = 1000;
/** Interval of pings; a link without a pong since the last ping is closed. */
const PING_INTERVAL_MS = 2000;

export function createLeaderLink(options: LeaderLinkOptions): LeaderLink {
  const { host, events } = options;
  const packr = new Packr({ useRecords: false });
  let target: string | undefined;
  let socket: WebSocket | undefined;
  /** Forwarded calls that the leader has not answered yet. */
  const pendingCalls = new Map<number, (answer: Result<RelayedAnswer, RelayFailure>) => void>();
  let nextCall = 1;
  /** A call has timed out and the leader has sent nothing since, so the link may be cut. */
  let isSilent = false;
  /** Whether a link to the present leader has been open before. */
  let hasConnected = false;

  async function answerAdviceRequest(from: WebSocket, request: AdviceRequest) {
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
      hasConnected = true;
      isSilent = false;
      dialled.send(packr.pack({ kind: 'hello', host, processors: options.processors }));
      events.info('leader-link-connected', { address });
    });
    dialled.on('pong', () => {
      alive = true;
      isSilent = false;
    });
    dialled.on('message', (data) => {
      if (socket !== dialled) return;
      isSilent = false;
      try {
        const message = packr.unpack(data as Buffer) as PeerMessage;
        if (message.kind === 'advice-request') void answerAdviceRequest(dialled, message);
        if (message.kind === 'call-response') pendingCalls.get(message.id)?.(ok(message.answer));
        if (message.kind === 'leader-turned-away') options.onLeaderUnavailable();
        if (message.kind === 'job-ended') options.onEnd(message.job, message.state);
      } catch (error) {
        events.warn('peer-message-malformed', { address, error: String(error) });
        dialled.terminate();
      }
    });
    dialled.on('error', (error) => {
      events.debug('leader-link-failed', { address, error: error.message });
      const { code } = error as NodeJS.ErrnoException;
      if (code === 'ECONNREFUSED' && hasConnected && socket === dialled)
        options.onLeaderUnavailable();
    });
    dialled.on('close', () => {
      clearInterval(pinger);
      if (socket !== dialled) return;
      socket = undefined;
      failPendingCalls();
      if (opened) events.info('leader-link-lost', { address });
      setTimeout(
        () => {
          if (socket === undefined && target !== undefined) dial(target);
        },
        opened ? FIRST_REDIAL_MS : REDIAL_MS,
      ).unref();
    });
  }

  function failPendingCalls() {
    for (const settle of [...pendingCalls.values()]) settle(err('no-answer'));
  }

  function relay(call: RelayedCall, timeoutMs: number) {
    return new Promise<Result<RelayedAnswer, RelayFailure>>((resolve) => {
      if (socket?.readyState !== WebSocket.OPEN || isSilent) {
        resolve(err('not-sent'));
        return;
      }
      const id = nextCall;
      nextCall += 1;
      const settle = (answer: Result<RelayedAnswer, RelayFailure>) => {
        clearTimeout(timer);
        pendingCalls.delete(id);
        resolve(answer);
      };
      const timer = setTimeout(() => {
        isSilent = true;
        settle(err('no-answer'));
      }, timeoutMs);
      pendingCalls.set(id, settle);
      socket.send(packr.pack({ kind: 'call-request', id, call }));
    });
  }

  function setLeaderAddress(address: string | undefined, successor?: Leader) {
    if (address === target) return;
    target = address;
    hasConnected = false;
    const former = socket;
    socket = undefined;
    if (former !== undefined) leave(former, successor);
    failPendingCalls();
    if (address !== undefined) dial(address);
  }

  function leave(former: WebSocket, successor: Leader | undefined) {
    if (successor === undefined || former.readyState !== WebSocket.OPEN) {
      former.terminate();
      return;
    }
    former.send(packr.pack({ kind: 'leader-changed', leader: successor }));
    former.close();
  }

  return {
    setLeaderAddress,
    relay,
    announceAccepted: (job, ageMs) => {
      if (socket?.readyState !== WebSocket.OPEN) return;
      const message = packr.pack({ kind: 'job-accepted', job, ageMs });
      // The leader would close the link at a longer one; it learns of such a job from the store.
      if (message.length <= MAX_MESSAGE_BYTES) socket.send(message);
    },
    reportEnd: (end) => {
      if (socket?.readyState !== WebSocket.OPEN) return;
      socket.send(packr.pack({ kind: 'run-ended', end }));
    },
    close: () => {
      setLeaderAddress(undefined);
    },
  };
}
