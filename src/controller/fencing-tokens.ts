/**
 * Fencing tokens of one leadership term. Workers do nothing for a token below the highest that they have seen. Each
 * incarnation of a worker gets a token of its own, above those of the incarnations that the leader met before it, so
 * that calls which were meant for one of them have no effect once the later one has been reached, however late they
 * arrive. Nothing else distinguishes them: calls name a worker's id, which it keeps when it starts again.
 */
import { TOKENS_PER_TERM } from '../leadership/index.js';

export interface FencingTokens {
  /** Issues a token for calls to the worker, above all those that this term has issued. */
  issue(worker: string): number;
  /** The highest token that was issued for the worker; 0 before the first. */
  latestOf(worker: string): number;
}

export interface FencingTokensOptions {
  /** Epoch of the term, which is its last token. */
  readonly epoch: number;
  /** Called when no token above those issued is left. */
  readonly onExhausted?: () => void;
}

export function createFencingTokens(options: FencingTokensOptions): FencingTokens {
  const { epoch, onExhausted = () => undefined } = options;
  const latest = new Map<string, number>();
  let last = epoch - TOKENS_PER_TERM;
  return {
    issue: (worker) => {
      if (last === epoch) onExhausted();
      else last += 1;
      latest.set(worker, last);
      return last;
    },
    latestOf: (worker) => latest.get(worker) ?? 0,
  };
}
