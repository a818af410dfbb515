/**
 * The command-line tool of operators and of callers without a program.
 */
export { EXIT, type ExitCode } from './exit-code.js';
export * from './run-cli.js';
