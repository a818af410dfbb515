/**
 * Runs the host list stand-in: `main.js [--address A] [--port P] [--lag-ms L]`.
 */
import { parseArgs } from 'node:util';
import { COMMON_ARGUMENTS, runStandIn } from '../run-stand-in.js';
import { startHostListServer } from './server.js';

const { values } = parseArgs({
  options: { ...COMMON_ARGUMENTS, 'lag-ms': { type: 'string', default: '0' } },
});

await runStandIn(values, (options) =>
  startHostListServer({ ...options, lagMs: Number(values['lag-ms']) }),
);
