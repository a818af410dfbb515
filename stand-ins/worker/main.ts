/**
 * Runs worker stand-ins in one process, each on its own port:
 * `main.js [--address A] [--port P] [--worker JSON]... [--workers-file FILE]`.
 *
 * The printed address serves `GET /control/workers`, which lists the workers and their URLs.
 */
import { readFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import { z } from 'zod';
import { COMMON_ARGUMENTS, runStandIn } from '../run-stand-in.js';
import { startWorkers } from './server.js';
import { workerSpec } from './spec.js';

const { values } = parseArgs({
  options: {
    ...COMMON_ARGUMENTS,
    worker: { type: 'string', multiple: true, default: [] },
    'workers-file': { type: 'string' },
  },
});

const specs = z
  .array(workerSpec)
  .parse([...values.worker.map(parseText), ...(await readSpecs(values['workers-file']))]);

await runStandIn(values, (options) => startWorkers({ ...options, specs }));

function parseText(text: string): unknown {
  return JSON.parse(text);
}

async function readSpecs(file: string | undefined): Promise<readonly unknown[]> {
  if (file === undefined) return [];
  return z.array(z.unknown()).parse(parseText(await readFile(file, 'utf8')));
}
