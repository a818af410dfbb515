/**
 * Sends metrics in the StatsD format over UDP, through hot-shots. A lost datagram only loses samples,
 * so socket errors are ignored.
 */
import { StatsD } from 'hot-shots';

/** Dimensions of a sample. */
export type Tags = Readonly<Record<string, string>>;

/** Records the samples of one process. */
export interface Metrics {
  count(name: string, value?: number, tags?: Tags): void;
  gauge(name: string, value: number, tags?: Tags): void;
  /** A duration in milliseconds. */
  timing(name: string, ms: number, tags?: Tags): void;
  /** Sends the buffered samples and closes the socket. */
  close(): Promise<void>;
}

/** The address and port of the StatsD server; without an address nothing is sent. */
export interface MetricsOptions {
  readonly address?: string;
  readonly port?: number;
}

const DEFAULT_PORT = 8125;
const PREFIX = 'sapphirewing.';
/** Fits into one Ethernet frame with the IP and UDP headers. */
const MAX_DATAGRAM_BYTES = 1400;
const FLUSH_INTERVAL_MS = 1000;

/** Discards all samples. */
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
    maxBufferSize: MAX_DATAGRAM_BYTES,
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
