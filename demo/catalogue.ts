/**
 * The catalogue of the demo: one team with its key, interactive, batch and gang entries, and an operator key.
 */
import { stringify } from 'yaml';
import { hashSecret } from '../src/catalogue/index.js';
import { OPERATOR_KEY } from '../stand-ins/cell.js';

export const DEMO_KEY = 'key-of-the-lawns-team';

export const DEMO_CATALOGUE = stringify({
  teams: { lawns: { share: 1, limit: 40 } },
  entries: {
    'slot-lookup': {
      owner: 'lawns',
      class: 'interactive',
      idempotent: true,
      size: { processors: 0.5, memoryMb: 256 },
    },
    'slot-booking': {
      owner: 'lawns',
      class: 'interactive',
      idempotent: false,
      size: { processors: 0.5, memoryMb: 256 },
    },
    'season-allocation': {
      owner: 'lawns',
      class: 'batch',
      idempotent: true,
      size: { processors: 4, memoryMb: 4096 },
    },
    'maintenance-plan': {
      owner: 'lawns',
      class: 'gang',
      idempotent: true,
      tasks: 5,
      size: { processors: 4, memoryMb: 2048 },
    },
  },
  keys: {
    'lawns-1': { team: 'lawns', role: 'submitter', hash: hashSecret(DEMO_KEY) },
    'operator-1': { role: 'operator', hash: hashSecret(OPERATOR_KEY) },
  },
});
