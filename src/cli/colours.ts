/**
 * Detects colour support: only on a terminal, and not if NO_COLOR is set.
 */
import type { WriteStream } from 'node:tty';
import type { BaseContext } from 'clipanion';

export function supportsColours({ stdout, env }: Pick<BaseContext, 'stdout' | 'env'>): boolean {
  const terminal = (stdout as Partial<WriteStream>).isTTY === true;
  return terminal && (env.NO_COLOR ?? '') === '';
}
