/**
 * The fencing token of the session with one incarnation of a worker. It is replaced by a later one when another session
 * of the same term has called the worker with a token that is not below it.
 */
import type { FencingTokens } from './fencing-tokens.js';

export interface SessionToken {
  /** The token that calls to the worker carry at present. */
  readonly current: number;
  /** Whether the worker has answered a call with the present token, and so refuses all earlier ones. */
  readonly isReached: boolean;
  /** Records that the worker has answered a call with this token; returns whether it is the first such answer. */
  reach(token: number): boolean;
  /** Lets further calls carry a later token than the given one. */
  outrank(token: number): void;
  /**
   * Applies a refusal of the token: `replaced` if this term has issued a later one, otherwise the worker has seen one of a
   * later epoch.
   */
  applyRefusal(token: number): 'replaced' | 'later-epoch';
}

export function createSessionToken(tokens: FencingTokens, worker: string): SessionToken {
  let current = tokens.issue(worker);
  /** Highest token under which the worker has answered. */
  let reached = 0;
  return {
    get current() {
      return current;
    },
    get isReached() {
      return reached >= current;
    },
    reach: (token) => {
      if (token <= reached) return false;
      reached = token;
      return true;
    },
    outrank: (token) => {
      if (current <= token) current = tokens.issue(worker);
    },
    applyRefusal: (token) => {
      // The token may have been replaced while the call was under way.
      if (token < current) return 'replaced';
      if (token >= tokens.latestOf(worker)) return 'later-epoch';
      current = tokens.issue(worker);
      return 'replaced';
    },
  };
}
