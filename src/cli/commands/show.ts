/**
 * The show command.
 */
import { Command } from 'clipanion';
import { EXIT, type ExitCode } from '../exit-code.js';
import { HostCommand } from '../cli-command.js';

/** Prints the catalogue in force, as operators applied it. */
export class ShowCommand extends HostCommand {
  static override paths = [['show']];
  static override usage = Command.Usage({
    description: 'Print the text in force, for example to edit and apply it.',
  });

  override async perform(): Promise<ExitCode> {
    const inForce = await this.connectOperator().configuration();
    if (inForce.isErr()) return this.fail(inForce.error);
    const { revision, text } = inForce.value;
    if (this.json) this.printJson({ revision, text });
    else this.context.stdout.write(text);
    this.warn(`revision ${String(revision)}`);
    return EXIT.success;
  }
}
