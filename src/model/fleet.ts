/**
 * The machines of the fleet: entry hosts and workers. Each belongs to one data centre.
 */
import type { Resources } from './resources.js';

/** A host that runs tasks. */
export interface Worker {
  readonly id: string;
  readonly dataCentre: string;
  readonly rack: string;
  /** Base address of the worker's HTTP interface. */
  readonly url: string;
  readonly capacity: Resources;
  /** Maximum number of tasks that run at the same time. */
  readonly slots: number;
  /** Maximum number of connections from all entry hosts together. */
  readonly connections: number;
  readonly state: 'live' | 'leaving';
}

/** A host that runs the entry daemon. */
export interface Host {
  readonly id: string;
  readonly dataCentre: string;
  /** Base address of the callers' and operators' interface. */
  readonly url: string;
  /** Address of the peer link, a `ws:` or `wss:` URL. */
  readonly linkUrl: string;
  readonly state: 'live' | 'leaving';
}

/** The content of the platform's host list, which may lag behind by seconds. */
export interface Fleet {
  readonly workers: readonly Worker[];
  readonly hosts: readonly Host[];
}
