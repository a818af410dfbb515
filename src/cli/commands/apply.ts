/**
 * The apply command.
 */
import { Command, Option } from 'clipanion';
import { diffCatalogues, parseCatalogue, type CatalogueChange } from '../../catalogue/index.js';
import { ChangeCommand, describeChangeFailure } from '../change-command.js';
import { formatChange } from '../format-change.js';
import { EXIT, type ExitCode, type Failure } from '../exit-code.js';

/** Replaces the active configuration by the contents of a file. */
export class ApplyCommand extends ChangeCommand {
  static override paths = [['apply']];
  static override usage = Command.Usage({
    description: 'Apply a catalogue and wait until the hosts run it.',
    details:
      'The change replaces the active revision, or the one given by --base, and fails with a conflict if another change is applied first. A file that changes keys needs --base, because an old copy of the file could restore a withdrawn key.',
  });

  file = Option.String();
  base = Option.String('--base', {
    description:
      'Revision that the file is based on; fails with a conflict if another one is active',
  });

  override async perform(): Promise<ExitCode> {
    const text = await this.readText(this.file);
    const parsed = parseCatalogue(text, this.file);
    if (parsed.isErr()) return this.printFindings(parsed.error);
    const base = this.base === undefined ? undefined : this.readNumber('base', this.base);
    const client = this.connectOperator();
    const active = await client.configuration();
    if (active.isErr()) return this.fail(active.error);
    const { revision } = active.value;
    const changes = diffCatalogues(active.value.text, text);
    const refusal = base === undefined ? checkKeyChanges(changes, revision) : undefined;
    if (refusal !== undefined) return this.fail(refusal);
    const result = await this.sendText(client, text, base ?? revision);
    if (result.kind !== 'applied') return this.fail(this.describe(result));
    if (!this.json) for (const change of changes) this.print(formatChange(change));
    return this.report(client, result, changes);
  }

  private describe(result: Parameters<typeof describeChangeFailure>[0]): Failure {
    const failure = describeChangeFailure(result);
    const findings = failure.findings?.map((finding) => ({ ...finding, file: this.file }));
    return findings === undefined ? failure : { ...failure, findings };
  }
}

/** Refuses key changes: a file copied before a key was withdrawn would restore the key. */
function checkKeyChanges(
  changes: readonly CatalogueChange[],
  revision: number,
): Failure | undefined {
  const keys = changes.filter((change) => change.part === 'key').map(formatChange);
  if (revision === 0 || keys.length === 0) return undefined;
  const message = `Conflict, nothing was applied: the keys of the file differ from the active ones (${keys.join('; ')}). Copy the keys from the active configuration, or add --base ${String(revision)} if the file is based on revision ${String(revision)}.`;
  return { exit: EXIT.conflict, message };
}
