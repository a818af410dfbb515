/**
 * The leader's side of the links to all other hosts: one WebSocket per host, with messages encoded by
 * msgpackr. A host that does not answer in time is disconnected and reconnects by itself.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Packr } from 'msgpackr';
import { WebSocket, WebSocketServer } from 'ws';
import type { AdviceAnswer, AdviceCaller } from '../advice/index.js';
import type { LinkListenerGuard } from '../client-limits/index.js';
import type { RelayedAnswer, RelayedCall } from '../intake/index.js';
import type { Job, JobState, ReportedEnd } from '../jobs/index.js';
import type { Leader } from '../leadership/index.js';
import type { EventLog } from '../observability/index.js';
import { createCallQueue } from './call-queue.js';
import type { AdviceResponse, CallRequest, PeerMessage } from './messages.js';

export interface PeerHub {
  readonly port: number;
  /** The connected hosts. */
  callers(): readonly AdviceCaller[];
  onCallerConnected(listener: () => void): void;
  /** Processor count of the connected host that has the most; 0 if none is connected. */
  readonly maxProcessors: number;
  /** Sets the handler of calls that hosts forward because they cannot serve them. */
  setCallHandler(handler: (call: RelayedCall) => Promise<RelayedAnswer>): void;
  /** Calls the listener with each job that a host has accepted and the milliseconds since then, if it tells them. */
  onAccepted(listener: (job: Job, ageMs: number | undefined) => void): void;
  /** Calls the listener with the leader for which a host has left this one. */
  onLeaderChanged(listener: (leader: Leader) => void): void;
  /** Calls the listener with each end that a former leader has read from a worker. */
  onEndReported(listener: (end: ReportedEnd) => void): void;
  /** Notifies the host, if it is connected, that a job which it accepted has ended. */
  announceEnd(host: string, job: string, state: JobState): void;
  /** Asks the connected hosts to replace this leader, because the store rejects it. */
  requestReplacement(): void;
  /** Closes all links, so that hosts look up the present leader. */
  disconnectAll(): void;
  close(): void;
}

export interface PeerHubOptions {
  readonly ip: string;
  readonly port: number;
  readonly events: EventLog;
  /** Timeout of a call to a host; must cover the slowest decision of the advice service. */
  readonly callTimeoutMs?: number;
  /** Limits the links; without it they are not limited. */
  readonly protect?: (server: Server) => LinkListenerGuard;
}

/** The slowest decision, for a call that names all workers, takes 1 s. A dead link is detected after this. */
const CALL_TIMEOUT_MS = 3000;
export const MAX_MESSAGE_BYTES = 1024 * 1024;
/**
 * Each fragment is kept with about 180 bytes of its own, so a message in tiny ones takes far more memory than its size
 * says. Hosts send each message as one frame.
 */
const MAX_FRAGMENTS = 64;

export function createPeerHub(options: PeerHubOptions): PeerHub {
  const { events, callTimeoutMs = CALL_TIMEOUT_MS } = options;
  const packr = new Packr({ useRecords: false });
  const calls = createCallQueue();
  const callers = new Map<WebSocket, AdviceCaller>();
  const processors = new Map<WebSocket, number>();
  const connectionListeners: (() => void)[] = [];
  let callHandler: ((call: RelayedCall) => Promise<RelayedAnswer>) | undefined;
  const acceptanceListeners: ((job: Job, ageMs: number | undefined) => void)[] = [];
  const successionListeners: ((leader: Leader) => void)[] = [];
  const endListeners: ((end: ReportedEnd) => void)[] = [];
  const listener = createServer();
  const guard = options.protect?.(listener);
  listener.on('request', (request, response) => {
    if (guard?.admit(request, response) === false) return;
    response
      .writeHead(426, { connection: 'close' })
      .end('This port serves links between hosts only.\n');
  });
  const server = new WebSocketServer({
    server: listener,
    maxPayload: MAX_MESSAGE_BYTES,
    maxFragments: MAX_FRAGMENTS,
    perMessageDeflate: false,
  });
  server.on('error', (error) => {
    events.error('peer-listener-failed', { error: error.message, port: options.port });
  });
  server.on('connection', (socket, request) => {
    serve(socket, request);
  });
  listener.listen(options.port, options.ip);

  function serve(socket: WebSocket, request: IncomingMessage) {
    const messages = guard?.watch({
      socket: request.socket,
      webSocket: socket,
      maxMessageBytes: MAX_MESSAGE_BYTES,
    });
    const pending = new Map<number, (answer: AdviceAnswer | undefined) => void>();
    let nextId = 1;
    let name = '';

    function advise(step: string, workers: readonly string[]) {
      return new Promise<AdviceAnswer | undefined>((resolve) => {
        const id = nextId;
        nextId += 1;
        const timer = setTimeout(() => {
          events.warn('peer-call-timed-out', { peer: name, step, timeoutMs: callTimeoutMs });
          socket.terminate();
        }, callTimeoutMs);
        pending.set(id, (answer) => {
          clearTimeout(timer);
          pending.delete(id);
          resolve(answer);
        });
        socket.send(packr.pack({ kind: 'advice-request', id, step, workers }));
      });
    }

    function receive(data: Buffer) {
      const message = packr.unpack(data) as PeerMessage;
      if (message.kind === 'hello') {
        endFormerLinks(message.host, socket);
        if (messages?.identify() === false) return;
        name = message.host;
        callers.set(socket, { name, advise });
        processors.set(socket, message.processors);
        events.info('peer-connected', { peer: name, peers: callers.size });
        for (const listener of connectionListeners) listener();
      }
      if (message.kind === 'advice-response') resolveAdvice(message);
      if (message.kind === 'call-request') line.add(data);
      if (message.kind === 'job-accepted') {
        for (const listener of acceptanceListeners) listener(message.job, message.ageMs);
      }
      if (message.kind === 'leader-changed') {
        for (const listener of successionListeners) listener(message.leader);
      }
      if (message.kind === 'run-ended') {
        for (const listener of endListeners) listener(message.end);
      }
    }

    const line = calls.open({
      run: (data, waitedMs) =>
        answer(packr.unpack(data) as CallRequest, waitedMs).catch(rejectMessage),
      // Unread answers take far more memory than their bytes, because they are short.
      isReading: () => !request.socket.writableNeedDrain,
      pause: () => {
        socket.pause();
      },
      resume: () => {
        if (socket.isPaused) socket.resume();
      },
    });

    async function answer({ id, call }: CallRequest, waitedMs: number) {
      if (!isOpen(socket)) return;
      const result = await callHandler?.(subtractWait(call, waitedMs));
      if (result === undefined || !isOpen(socket)) return;
      socket.send(packr.pack({ kind: 'call-response', id, answer: result }));
    }

    /** The content of a message is first looked at by its handlers, which fail on one that is malformed. */
    function rejectMessage(error: unknown) {
      if (!isOpen(socket)) return;
      events.warn('peer-message-malformed', { peer: name, error: String(error) });
      socket.terminate();
    }

    function resolveAdvice(response: AdviceResponse) {
      const { permits, validMs, failure } = response;
      pending.get(response.id)?.(failure === '' ? { permits, validMs } : undefined);
    }

    request.socket.on('drain', line.advance);
    socket.on('message', (data) => {
      try {
        receive(data as Buffer);
      } catch (error) {
        rejectMessage(error);
      }
    });
    socket.on('error', (error) => {
      events.warn('peer-link-failed', { peer: name, error: error.message });
    });
    socket.on('close', () => {
      line.close();
      for (const resolve of pending.values()) resolve(undefined);
      processors.delete(socket);
      if (!callers.delete(socket)) return;
      events.info('peer-disconnected', { peer: name, peers: callers.size });
    });
  }

  /** A link that a partition has cut stays open at this end until TCP gives up, and would count against the limit. */
  function endFormerLinks(host: string, present: WebSocket) {
    for (const [socket, { name }] of callers) {
      if (name === host && socket !== present) socket.terminate();
    }
  }

  function announce(message: PeerMessage) {
    const packed = packr.pack(message);
    for (const socket of callers.keys()) socket.send(packed);
  }

  return {
    get port() {
      const address = server.address() as AddressInfo | null;
      return address?.port ?? options.port;
    },
    callers: () => [...callers.values()],
    get maxProcessors() {
      return Math.max(0, ...processors.values());
    },
    onCallerConnected: (listener) => {
      connectionListeners.push(listener);
    },
    setCallHandler: (handler) => {
      callHandler = handler;
    },
    onAccepted: (listener) => {
      acceptanceListeners.push(listener);
    },
    onLeaderChanged: (listener) => {
      successionListeners.push(listener);
    },
    onEndReported: (listener) => {
      endListeners.push(listener);
    },
    announceEnd: (host, job, state) => {
      for (const [socket, { name }] of callers) {
        if (name === host) socket.send(packr.pack({ kind: 'job-ended', job, state }));
      }
    },
    requestReplacement: () => {
      announce({ kind: 'leader-turned-away' });
    },
    disconnectAll: () => {
      for (const socket of server.clients) socket.terminate();
    },
    close: () => {
      for (const socket of server.clients) socket.terminate();
      server.close();
      listener.close();
      listener.closeAllConnections();
    },
  };
}

/** The time that a call has waited here counts towards its deadline. */
function subtractWait(call: RelayedCall, waitedMs: number): RelayedCall {
  return 'remainingMs' in call ? { ...call, remainingMs: call.remainingMs - waitedMs } : call;
}

function isOpen(socket: WebSocket): boolean {
  return socket.readyState === WebSocket.OPEN;
}
