/**
 * Schema of the daemon's settings, with their defaults.
 */
import { z } from 'zod';
import { fraction, mapping, nameField, oneOf, url, wholeNumber } from '../catalogue/index.js';

const MAX_PORT = 65_535;
/** Shorter secrets could be guessed by anyone who can reach the link port. */
const MIN_SECRET_CHARS = 16;
const HTTP_PROTOCOLS = ['http:', 'https:'];
const LINK_PROTOCOLS = ['ws:', 'wss:'];
const ADDRESS_FIX = 'write an IP address to listen on, for example 0.0.0.0';
const FILE_FIX = 'write the path of a PEM file';
const HASH_FIX = 'write the SHA-256 of the secret as 64 lower-case hexadecimal digits';
const WEIGHT_FIX = 'write a weight of at least 0';
const DATA_CENTRES_FIX = 'list the names of all data centres of the deployment';
const URGENT_FIX = 'write a fraction from 0 to 1';

const address = z.union([z.ipv4(), z.ipv6()], ADDRESS_FIX);
const port = wholeNumber('the port', 0, MAX_PORT);
const weight = fraction(WEIGHT_FIX, 0, Number.MAX_VALUE);
const milliseconds = wholeNumber('milliseconds', 1);
const pemFile = z.string(FILE_FIX).min(1, FILE_FIX);
const secretFix = `write a secret of at least ${String(MIN_SECRET_CHARS)} characters`;

const hostSchema = mapping({ id: nameField, dataCentre: nameField });

const linksSchema = mapping({
  address: address.default('0.0.0.0'),
  port,
  advertise: url(LINK_PROTOCOLS),
  secret: z.string(secretFix).min(MIN_SECRET_CHARS, secretFix),
  tls: mapping({ key: pemFile, cert: pemFile, ca: pemFile }).optional(),
});

const peerSchema = mapping({
  id: nameField,
  dataCentre: nameField,
  url: url(HTTP_PROTOCOLS),
  linkUrl: url(LINK_PROTOCOLS),
  state: oneOf(['live', 'leaving']).default('live'),
});

const metricsSchema = z.union(
  [
    z.literal('off'),
    mapping({
      address: z.string().min(1),
      port: wholeNumber('the port', 1, MAX_PORT).default(8125),
    }),
  ],
  'write off, or the address and port of a statsd daemon',
);

export const timersSchema = mapping({
  heartbeatMs: milliseconds.default(1000),
  suspectAfterMs: milliseconds.default(5000),
  leaseMs: milliseconds.default(10_000),
  keyStalenessMs: milliseconds.default(5000),
  drainGraceMs: wholeNumber('milliseconds', 0).default(1000),
});

const weightsSchema = mapping({
  waiting: weight.default(1),
  share: weight.default(1),
  packing: weight.default(1),
});

const schedulingSchema = mapping({
  weights: weightsSchema.prefault({}),
  urgentShare: fraction(URGENT_FIX, 0, 1).default(0.9),
  maxWaitBoostMs: wholeNumber('milliseconds', 0).default(60_000),
});

const count = (what: string) => wholeNumber(what, 1);

const limitsSchema = mapping({
  maxBodyBytes: wholeNumber('bytes', 1).default(1024 * 1024),
  maxIdAgeMs: milliseconds.default(600_000),
  maxClockSkewMs: wholeNumber('milliseconds', 0).default(5000),
  // 256 bodies of a quarter of the largest size, which is what callers usually send at most.
  bufferBytes: wholeNumber('bytes', 1).default(64 * 1024 * 1024),
  // What is left of the usual 1024 descriptors without those for links, workers, the store and files.
  callerConnections: count('connections').default(600),
  // All other hosts connect within a second after a start and prove at once who they are.
  unidentifiedLinks: count('connections').default(64),
  pipelinedRequests: count('requests').default(8),
  smallChunks: count('chunks').default(8192),
  headerTimeoutMs: milliseconds.default(3000),
  bodyTimeoutMs: milliseconds.default(10_000),
  responseTimeoutMs: milliseconds.default(10_000),
  // Longer than callers keep idle connections, so that the caller closes first.
  idleTimeoutMs: milliseconds.default(60_000),
});

const operatorsSchema = mapping({
  bootstrapKeyHash: z
    .string(HASH_FIX)
    .regex(/^[0-9a-f]{64}$/, HASH_FIX)
    .optional(),
});

export const settingsSchema = mapping({
  host: hostSchema,
  listen: mapping({ address: address.default('0.0.0.0'), port }),
  dataCentres: z.array(nameField, DATA_CENTRES_FIX).min(1, DATA_CENTRES_FIX),
  advertise: url(HTTP_PROTOCOLS),
  links: linksSchema,
  store: url(HTTP_PROTOCOLS),
  hostList: url(HTTP_PROTOCOLS),
  peers: z.array(peerSchema, 'write a list of hosts').default([]),
  log: mapping({
    level: oneOf(['debug', 'info', 'warn', 'error']).default('info'),
    format: oneOf(['text', 'json']).default('text'),
  }).prefault({}),
  metrics: metricsSchema.default('off'),
  timers: timersSchema.prefault({}),
  scheduling: schedulingSchema.prefault({}),
  limits: limitsSchema.prefault({}),
  faultInjection: z.boolean('write true or false').default(false),
  operators: operatorsSchema.prefault({}),
});
