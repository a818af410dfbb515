/**
 * The command-line tool of operators, and of callers that do not use the HTTP API directly.
 */
export { EXIT, type ExitCode } from './exit-code.js';
export * from './run-cli.js';
