/**
 * Base class of the commands that change the configuration.
 */
import { randomUUID } from 'node:crypto';
import { Option } from 'clipanion';
import { match } from 'ts-pattern';
import type { CatalogueChange } from '../catalogue/index.js';
import { sendChange, waitForRollout, type ChangeResult, type ChangeTiming } from './send-change.js';
import { formatRollout } from './format-change.js';
import { EXIT, type ExitCode, type Failure } from './exit-code.js';
import type { OperatorClient } from './operator-client.js';
import { HostCommand } from './cli-command.js';

const DEFAULT_TIMEOUT_MS = '10000';
const POLL_MS = 200;

export type AppliedChange = Extract<ChangeResult, { kind: 'applied' }>;

/** A command that sends a new configuration and reports its rollout. */
export abstract class ChangeCommand extends HostCommand {
  timeoutMs = Option.String('--timeout-ms', DEFAULT_TIMEOUT_MS, {
    description:
      'Longest time to resolve a lost response, and then to wait until the hosts run the new revision',
  });

  protected timing(): ChangeTiming {
    return { timeoutMs: this.readNumber('timeout-ms', this.timeoutMs), pollMs: POLL_MS };
  }

  protected sendText(
    client: OperatorClient,
    text: string,
    baseRevision: number,
  ): Promise<ChangeResult> {
    return sendChange(client, { text, baseRevision, changeId: randomUUID() }, this.timing());
  }

  /** Waits for the rollout and prints which revision each host runs. */
  protected async report(
    client: OperatorClient,
    applied: AppliedChange,
    changes: readonly CatalogueChange[],
    extra: Readonly<Record<string, unknown>> = {},
  ): Promise<ExitCode> {
    const { revision } = applied;
    const hosts = await waitForRollout(client, revision, applied.hosts, this.timing());
    if (this.json) this.printJson({ ...extra, revision, changes, hosts });
    else for (const line of formatRollout(hosts, revision)) this.printProgress(line);
    return EXIT.success;
  }

  protected printProgress(line: string): void {
    this.print(line);
  }
}

/** Describes a change that was not applied, or whose result is unknown. */
export function describeChangeFailure(result: Exclude<ChangeResult, AppliedChange>): Failure {
  return match(result)
    .with({ kind: 'conflict' }, ({ revision }) => {
      const other = revision === undefined ? 'another revision' : `revision ${String(revision)}`;
      const message = `Conflict, nothing was applied: ${other} is in force. Run diff, merge the other change and apply again.`;
      return { exit: EXIT.conflict, message };
    })
    .with({ kind: 'invalid' }, ({ findings }) => ({
      exit: EXIT.refused,
      message: 'The host refused the configuration; correct the findings.',
      findings,
    }))
    .with({ kind: 'refused' }, ({ detail }) => ({ exit: EXIT.refused, message: detail }))
    .with({ kind: 'unreachable' }, ({ detail }) => ({
      exit: EXIT.unreachable,
      message: `No host could be reached, and nothing was sent: ${detail}`,
    }))
    .with({ kind: 'unknown' }, ({ detail }) => ({
      exit: EXIT.unknown,
      message: `The change may have been applied: ${detail}. Run diff to compare with the active configuration.`,
    }))
    .exhaustive();
}
