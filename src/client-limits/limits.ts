/**
 * Derives the limits for clients from the memory and the descriptors of the host. Each limit can be set by itself.
 */

export interface ClientLimits {
  /** Bytes of unfinished bodies and messages, bodies in progress and unread responses of all clients. */
  readonly bufferBytes: number;
  readonly callerConnections: number;
  readonly readinessConnections: number;
  readonly metricsConnections: number;
  /** Links of other hosts that have identified themselves. */
  readonly peerLinks: number;
  /** Connections to the port for links that have not identified themselves. */
  readonly unidentifiedLinks: number;
  /** Requests on one connection whose responses are outstanding. */
  readonly pipelinedRequests: number;
  /** Chunks of less than 32 bytes in one body. */
  readonly smallChunks: number;
  /** Time for the header of a request; undefined takes the configuration's. */
  readonly headerTimeoutMs: number | undefined;
  /** Time for a whole body, from the end of the header. */
  readonly bodyTimeoutMs: number;
  /** Time for a response to be read, from its end. */
  readonly responseTimeoutMs: number;
  /** Time without a request; undefined takes a multiple of the configuration's. */
  readonly idleTimeoutMs: number | undefined;
  /** Time for a link to identify itself, from its connection. */
  readonly firstMessageTimeoutMs: number;
  /** Time for one message of a link. */
  readonly messageTimeoutMs: number;
}

export interface HostResources {
  /** Memory of the host in megabytes; undefined if unknown. */
  readonly memoryMb: number | undefined;
  /** Descriptors of the process, including those for files; undefined if unknown. */
  readonly maxDescriptors: number | undefined;
}

const BYTES_PER_MB = 1024 * 1024;
/**
 * A sixth of the memory: an idle host takes about half of the smallest hosts' 210 MB, and buffers that were released
 * stay resident until the next garbage collection.
 */
const BUFFER_SHARE = 1 / 6;
/** A single body of the largest size that the configuration usually allows must always fit, while it grows too. */
const MIN_BUFFER_BYTES = 1024 * 1024;
/** Descriptors that the platform sets aside for files. */
const FILE_DESCRIPTORS = 200;
/** Connections of the host itself: 400 workers, 100 other hosts and 32 to the store and the advice service. */
const OWN_CONNECTIONS = 532;
/** On hosts with few descriptors callers get at least this part of those for connections. */
const MIN_CALLER_SHARE = 1 / 4;
/** Readiness and metrics are read by a few dozen clients at most, each on one connection. */
const READINESS_CONNECTIONS = 64;
const METRICS_CONNECTIONS = 32;
/** All of 100 hosts connect to a new leader at the same moment, and some connect again. */
const UNIDENTIFIED_LINKS = 128;
/** Up to 100 other hosts, and links that are being replaced. */
const PEER_LINKS = 128;
/** Callers send one request at a time. */
const PIPELINED_REQUESTS = 8;
/** A body of 262,144 bytes in chunks of 32 bytes has as many chunks; reading them takes 15 ms. */
const SMALL_CHUNKS = 8192;
/** Callers wait up to 3 s for a response, so a body that takes longer is of no use to them. */
const BODY_TIMEOUT_MS = 10_000;
const RESPONSE_TIMEOUT_MS = 10_000;
/** A host identifies itself as soon as its link is open; a dial ends after 1 s. */
const FIRST_MESSAGE_TIMEOUT_MS = 3000;
/** A message has up to 1 MB, which takes less than a second on a link that is of use. */
const MESSAGE_TIMEOUT_MS = 10_000;

/** Returns the limits of a host; what is unknown about its resources does not limit. */
export function deriveClientLimits(
  { memoryMb, maxDescriptors }: HostResources,
  overrides: Partial<ClientLimits> = {},
): ClientLimits {
  return {
    bufferBytes:
      memoryMb === undefined
        ? Infinity
        : Math.max(MIN_BUFFER_BYTES, Math.floor(memoryMb * BYTES_PER_MB * BUFFER_SHARE)),
    callerConnections: maxDescriptors === undefined ? Infinity : countCallers(maxDescriptors),
    readinessConnections: READINESS_CONNECTIONS,
    metricsConnections: METRICS_CONNECTIONS,
    peerLinks: PEER_LINKS,
    unidentifiedLinks: UNIDENTIFIED_LINKS,
    pipelinedRequests: PIPELINED_REQUESTS,
    smallChunks: SMALL_CHUNKS,
    headerTimeoutMs: undefined,
    bodyTimeoutMs: BODY_TIMEOUT_MS,
    responseTimeoutMs: RESPONSE_TIMEOUT_MS,
    idleTimeoutMs: undefined,
    firstMessageTimeoutMs: FIRST_MESSAGE_TIMEOUT_MS,
    messageTimeoutMs: MESSAGE_TIMEOUT_MS,
    ...overrides,
  };
}

function countCallers(maxDescriptors: number): number {
  const available = Math.max(0, maxDescriptors - FILE_DESCRIPTORS);
  const others = READINESS_CONNECTIONS + METRICS_CONNECTIONS + UNIDENTIFIED_LINKS;
  return Math.max(
    1,
    Math.floor(available * MIN_CALLER_SHARE),
    available - OWN_CONNECTIONS - others,
  );
}
