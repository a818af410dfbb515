/**
 * Metrics in the statsd format over UDP, through hot-shots. Losing a datagram loses a sample and
 * nothing else, so errors of the socket are ignored.
 */
import { StatsD } from 'hot-shots';

/** Dimensions of a sample. */
export type Tags = Readonly<Record<string, string>>;

/** Samples of one process. */
export interface Metrics {
  count(name: string, value?: number, tags?: Tags): void;
  gauge(name: string, value: number, tags?: Tags): void;
  /** A duration in milliseconds. */
  timing(name: string, ms: number, tags?: Tags): void;
  /** Sends what is buffered and closes the socket. */
  close(): Promise<void>;
}

/** Where samples are sent; without an address nothing is sent. */
export interface MetricsOptions {
  readonly address?: string;
  readonly port?: number;
}

const DEFAULT_PORT = 8125;
const PREFIX = 'sapphirewing.';
/** Fits into one Ethernet frame together with the IP and UDP headers. */
const DATAGRAM_BYTES = 1400;
const FLUSH_INTERVAL_MS = 1000;

/** Metrics that go nowhere. */
export const NO_METRICS: Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
  close: () => Promise.resolve(),
};

export function createMetrics(options: MetricsOptions = {}): Metrics {
  if (options.address === undefined) return NO_METRICS;
  const client = new StatsD({
    host: options.address,
    port: options.port ?? DEFAULT_PORT,
    prefix: PREFIX,
    maxBufferSize: DATAGRAM_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    includeDataDogTags: false,
    errorHandler: () => undefined,
  });
  return {
    count: (name, value = 1, tags = {}) => {
      client.increment(name, value, { ...tags });
    },
    gauge: (name, value, tags = {}) => {
      client.gauge(name, value, { ...tags });
    },
    timing: (name, ms, tags = {}) => {
      client.timing(name, ms, { ...tags });
    },
    close: () =>
      new Promise((resolve) => {
        client.close(() => {
          resolve();
        });
      }),
  };
}
