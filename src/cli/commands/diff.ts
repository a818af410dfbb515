/**
 * The diff command.
 */
import { Command, Option } from 'clipanion';
import { diffCatalogues, parseCatalogue } from '../../catalogue/index.js';
import { formatChange } from '../format-change.js';
import { EXIT, type ExitCode } from '../exit-code.js';
import { HostCommand } from '../cli-command.js';

/** Compares a file with the configuration in force. */
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
    const inForce = await this.connectOperator().configuration();
    if (inForce.isErr()) return this.fail(inForce.error);
    const { revision } = inForce.value;
    const changes = diffCatalogues(inForce.value.text, text);
    if (this.json) {
      this.printJson({ revision, changes });
      return EXIT.success;
    }
    for (const change of changes) this.print(formatChange(change));
    this.print(`${String(changes.length)} changes to revision ${String(revision)}`);
    return EXIT.success;
  }
}
