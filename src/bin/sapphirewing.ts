#!/usr/bin/env node
/**
 * The command-line tool.
 */
import { runCli } from '../cli/index.js';

// A reader that has seen enough, such as head, closes the pipe; that is no error.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error;
  process.exit(0);
});
// Setting the code instead of exiting lets pending output reach a pipe.
process.exitCode = await runCli(process.argv.slice(2));
