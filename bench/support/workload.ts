/**
 * Workloads of both users: the request streams with their fractions of the slots and actual run times, and the
 * catalogue and machines from `examples/`.
 */
import { readFile } from 'node:fs/promises';
import { parse, stringify } from 'yaml';
import { hashSecret } from '../../src/catalogue/index.js';
import { OPERATOR_KEY, type DataCentreSpec } from '../../stand-ins/cell.js';

/** A stream of requests for one catalogue entry. */
export interface RequestStream {
  readonly entry: string;
  readonly kind: 'lookup' | 'booking' | 'open' | 'batch' | 'gang';
  /** Fraction of the offered slot time; the parts of a workload add up to 1. */
  readonly part: number;
  /** Mean of the actual run time of a task; the catalogue only declares the far longer run limits. */
  readonly meanRunMs: number;
  readonly tasks: number;
  /** Id of the key; absent for open entries. */
  readonly key?: string;
}

export interface UserWorkload {
  readonly streams: readonly RequestStream[];
  readonly service: { readonly entry: string; readonly key: string; readonly count: number };
}

export type UserName = 'guadalajara' | 'cluj';

const stream = (
  kind: RequestStream['kind'],
  entry: string,
  part: number,
  meanRunMs: number,
  more: { key?: string; tasks?: number } = {},
): RequestStream => ({ kind, entry, part, meanRunMs, tasks: 1, ...more });

/** Two teams of each user have most of the work. At a load of 1, no team exceeds its limit. */
export const USER_WORKLOADS: Readonly<Record<UserName, UserWorkload>> = {
  guadalajara: {
    streams: [
      stream('lookup', 'slot-lookup', 0.32, 100, { key: 'gate-office' }),
      stream('open', 'gate-lookup', 0.1, 100),
      stream('booking', 'booking', 0.23, 300, { key: 'booking-site' }),
      stream('batch', 'season-allocation', 0.17, 2000, { key: 'league-office' }),
      stream('batch', 'maintenance-plan', 0.09, 1500, { key: 'groundskeepers' }),
      stream('gang', 'tournament-draw', 0.09, 1000, { key: 'tournament-desk', tasks: 6 }),
    ],
    service: { entry: 'rota-service', key: 'rota-desk', count: 6 },
  },
  cluj: {
    streams: [
      stream('lookup', 'seam-check', 0.34, 100, { key: 'floor-stations' }),
      stream('open', 'practice-check', 0.02, 100),
      stream('booking', 'seam-plan', 0.22, 400, { key: 'plan-desk' }),
      stream('batch', 'pattern-batch', 0.16, 2000, { key: 'tannery' }),
      stream('batch', 'panel-sizing', 0.17, 1500, { key: 'saddlery' }),
      stream('gang', 'saddle-fitting', 0.09, 1000, { key: 'saddlery', tasks: 4 }),
    ],
    service: { entry: 'stitch-planner', key: 'stitch-room', count: 6 },
  },
};

interface FleetFile {
  readonly hosts: readonly { readonly dataCentre: string }[];
  readonly workers: readonly {
    readonly id: string;
    readonly dataCentre: string;
    readonly rack: string;
    readonly capacity: object;
    readonly slots: number;
    readonly connections: number;
  }[];
}

export interface CatalogueFile {
  readonly teams: Readonly<
    Record<string, { readonly share: number; readonly limit: number } | undefined>
  >;
  readonly keys: Readonly<Record<string, object>>;
}

export interface Example {
  readonly dataCentres: readonly DataCentreSpec[];
  readonly catalogue: string;
  readonly teams: CatalogueFile['teams'];
  readonly slots: number;
}

/** Reads the machines and the catalogue of a user, and adds the operator key of the benchmark. */
export async function readExample(user: UserName): Promise<Example> {
  const read = (name: string) => readFile(`examples/${user}/${name}.yaml`, 'utf8');
  const fleet = parse(await read('fleet')) as FleetFile;
  const catalogue = parse(await read('catalogue')) as CatalogueFile;
  const names = [...new Set(fleet.hosts.map(({ dataCentre }) => dataCentre))];
  const operator = { role: 'operator', hash: hashSecret(OPERATOR_KEY) };
  return {
    dataCentres: names.map((name) => ({
      name,
      hosts: fleet.hosts.filter(({ dataCentre }) => dataCentre === name).length,
      workers: fleet.workers
        .filter(({ dataCentre }) => dataCentre === name)
        .map(({ id, rack, capacity, slots, connections }) => {
          return { id, rack, capacity, slots, connections };
        }),
    })),
    catalogue: stringify({
      ...catalogue,
      keys: { ...catalogue.keys, 'bench-operator': operator },
    }),
    teams: catalogue.teams,
    slots: fleet.workers.reduce((sum, { slots }) => sum + slots, 0),
  };
}

/** Returns the secret of a key in the examples. */
export function secretOf(key: string): string {
  return `example-${key}`;
}
