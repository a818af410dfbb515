/**
 * Shared by the entry modules of the stand-ins: command-line arguments, the ready line and shutdown.
 */
import { parseArgs } from 'node:util';
import type { Listener } from './http.js';

/** Command-line arguments that every stand-in accepts. */
export const COMMON_ARGUMENTS = {
  address: { type: 'string', default: '127.0.0.1' },
  port: { type: 'string', default: '0' },
  /** Ends the process when standard input ends, so that it does not outlive a test run. */
  'exit-with-stdin': { type: 'boolean', default: false },
} as const;

interface CommonArguments {
  readonly address: string;
  readonly port: string;
  readonly 'exit-with-stdin': boolean;
}

/** Parses the arguments of a stand-in that accepts only the common ones. */
export function parseCommonArguments(): CommonArguments {
  return parseArgs({ options: COMMON_ARGUMENTS }).values;
}

/** Starts the stand-in, prints the ready line and closes the stand-in on SIGTERM or SIGINT. */
export async function runStandIn(
  values: CommonArguments,
  start: (options: { address: string; port: number }) => Promise<Listener>,
): Promise<void> {
  const listener = await start({ address: values.address, port: Number(values.port) });
  const stop = () => {
    void listener.close().then(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  if (values['exit-with-stdin']) process.stdin.once('end', stop).resume();
  process.stdout.write(`listening ${listener.url}\n`);
}
