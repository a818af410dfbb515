#!/usr/bin/env node
/**
 * The daemon of an entry host: loads its settings, serves requests, and shuts down gracefully on
 * SIGTERM or SIGINT. A second signal ends it immediately.
 */
import { readFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import { startEntryHost, type EntryHost } from '../entry/index.js';
import { parseSettings, type Settings } from '../settings/index.js';

const USAGE = 'Usage: sapphirewing-entry --settings FILE';
const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

const { values } = parseArgs({
  options: { settings: { type: 'string' }, help: { type: 'boolean', default: false } },
});

if (values.help) {
  process.stdout.write(`${USAGE}\n`);
} else if (values.settings === undefined) {
  process.stderr.write(`${USAGE}\n`);
  process.exitCode = EXIT_USAGE;
} else {
  await run(values.settings);
}

async function run(file: string): Promise<void> {
  const settings = await readSettings(file);
  if (settings === undefined) return;
  const entry = await startEntryHost(settings);
  const { url, linkUrl } = entry.host;
  process.stdout.write(`listening ${url} ${linkUrl}\n`);
  shutDownOnSignal(entry);
}

async function readSettings(file: string): Promise<Settings | undefined> {
  const settings = parseSettings(await readFile(file, 'utf8'), file);
  if (settings.isOk()) return settings.value;
  for (const { line, column, problem, fix } of settings.error) {
    process.stderr.write(`${file}:${String(line)}:${String(column)}: ${problem}; ${fix}\n`);
  }
  process.exitCode = EXIT_FAILURE;
  return undefined;
}

function shutDownOnSignal(entry: EntryHost): void {
  let shuttingDown = false;
  const shutDown = () => {
    if (shuttingDown) process.exit(EXIT_FAILURE);
    shuttingDown = true;
    void entry.drain().then(() => process.exit(0));
  };
  process.on('SIGTERM', shutDown);
  process.on('SIGINT', shutDown);
}
