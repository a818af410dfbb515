/**
 * Exit codes of the command-line tool and the failures that carry them.
 */
import type { Finding } from '../catalogue/index.js';

export const EXIT = {
  success: 0,
  /** The file has findings, or the host refused the request. */
  refused: 1,
  usage: 2,
  /** Another operator's change was applied first. */
  conflict: 3,
  unreachable: 4,
  /** A request was sent, but its outcome is unknown. */
  unknown: 5,
} as const;

export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** Why a command failed, and the exit code to return. */
export interface Failure {
  readonly exit: ExitCode;
  readonly message: string;
  readonly findings?: readonly Finding[];
}
