/**
 * The settings of the daemon on one entry host: their types and how they are parsed.
 */
import { err, ok, type Result } from 'neverthrow';
import { checkValue, parseSource, sortFindings, type Finding } from '../catalogue/index.js';
import type { Host } from '../model/index.js';
import { checkSettingsRules } from './rules.js';
import { settingsSchema } from './schema.js';

/** An address and port to listen on; port 0 lets the system choose one. */
export interface ListenAddress {
  readonly address: string;
  readonly port: number;
}

/** Paths of the PEM files of the peer links. */
export interface TlsFiles {
  readonly key: string;
  readonly cert: string;
  readonly ca: string;
}

export interface LinkSettings extends ListenAddress {
  /** URL at which peers reach this host. */
  readonly advertise: string;
  /** The cluster secret that peers present. */
  readonly secret: string;
  readonly tls?: TlsFiles | undefined;
}

export interface Timers {
  readonly heartbeatMs: number;
  /** Time without a heartbeat after which a peer is suspected to be dead. */
  readonly suspectAfterMs: number;
  readonly leaseMs: number;
  /** Age of the latest read from the store after which keys are no longer known to be current. */
  readonly keyStalenessMs: number;
  /** Time between reporting `leaving` and closing the listener. */
  readonly drainGraceMs: number;
}

export interface SchedulingSettings {
  readonly weights: {
    readonly waiting: number;
    readonly share: number;
    readonly packing: number;
  };
  /** Maximum fraction of task starts for interactive work while other work is waiting. */
  readonly urgentShare: number;
  /** Waiting time after which a deferrable job takes precedence over interactive requests. */
  readonly maxWaitBoostMs: number;
}

export interface RequestLimits {
  readonly maxBodyBytes: number;
  readonly maxIdAgeMs: number;
  readonly maxClockSkewMs: number;
  /** Bytes of unfinished bodies, bodies in progress and unread responses of all clients. */
  readonly bufferBytes: number;
  readonly callerConnections: number;
  /** Connections to the port for links that have not proved who they are. */
  readonly unidentifiedLinks: number;
  /** Requests on one connection whose responses are outstanding. */
  readonly pipelinedRequests: number;
  /** Chunks of less than 32 bytes in one body. */
  readonly smallChunks: number;
  readonly headerTimeoutMs: number;
  readonly bodyTimeoutMs: number;
  readonly responseTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The settings of one entry host. */
export interface Settings {
  readonly host: { readonly id: string; readonly dataCentre: string };
  /** Listener for callers and operators. */
  readonly listen: ListenAddress;
  /**
   * All data centres of the deployment. The list must be the same on every host, because the home
   * of a request id is derived from it. A change requires a pause of at least the maximum age of
   * ids.
   */
  readonly dataCentres: readonly string[];
  /** URL at which callers, operators and peers reach the listener. */
  readonly advertise: string;
  readonly links: LinkSettings;
  /** URL of the key-value service. */
  readonly store: string;
  /** URL of the platform's host list. */
  readonly hostList: string;
  /** Hosts that are known independently of the host list. */
  readonly peers: readonly Host[];
  readonly log: {
    readonly level: 'debug' | 'info' | 'warn' | 'error';
    readonly format: 'text' | 'json';
  };
  readonly metrics: 'off' | ListenAddress;
  readonly timers: Timers;
  readonly scheduling: SchedulingSettings;
  readonly limits: RequestLimits;
  /** Whether link faults can be switched on over HTTP; for tests only. */
  readonly faultInjection: boolean;
  readonly operators: {
    /** Hash of an operator key that is accepted as long as no operator key is in force. */
    readonly bootstrapKeyHash?: string | undefined;
  };
}

/** Top-level fields of the settings. */
export const SETTINGS_FIELDS: readonly string[] = Object.keys(settingsSchema.shape);

/** Parses and validates the settings of a daemon; all errors are reported together. */
export function parseSettings(text: string, file: string): Result<Settings, readonly Finding[]> {
  const source = parseSource(text, file);
  const checked = checkValue<Settings>(source, settingsSchema, source.value, []);
  const findings = [...source.findings, ...checked.findings, ...checkSettingsRules(source)];
  if (checked.value === undefined || findings.length > 0) return err(sortFindings(findings));
  return ok(checked.value);
}
