/**
 * The diff command.
 */
import { Command, Option } from 'clipanion';
import { diffCatalogues, parseCatalogue } from '../../catalogue/index.js';
import { formatChange } from '../format-change.js';
import { EXIT, type ExitCode } from '../exit-code.js';
import { HostCommand } from '../cli-command.js';

/** Compares a file with the active configuration. */
export class DiffCommand extends HostCommand {
  static override paths = [['diff']];
  static override usage = Command.Usage({
    description: 'Print what applying a catalogue would change.',
  });

  file = Option.String();

  override async perform(): Promise<ExitCode> {
    const text = await this.readText(this.file);
    const parsed = parseCatalogue(text, this.file);
    if (parsed.isErr()) return this.printFindings(parsed.error);
    const active = await this.connectOperator().configuration();
    if (active.isErr()) return this.fail(active.error);
    const { revision } = active.value;
    const changes = diffCatalogues(active.value.text, text);
    if (this.json) {
      this.printJson({ revision, changes });
      return EXIT.success;
    }
    for (const change of changes) this.print(formatChange(change));
    this.print(`${String(changes.length)} changes to revision ${String(revision)}`);
    return EXIT.success;
  }
}
