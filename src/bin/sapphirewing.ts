#!/usr/bin/env node
/**
 * The command-line tool.
 */
import { runCli } from '../cli/index.js';

// A reader such as head may close the pipe early; that is not an error.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error;
  process.exit(0);
});
// process.exit could lose output that is still pending on a pipe.
process.exitCode = await runCli(process.argv.slice(2));
