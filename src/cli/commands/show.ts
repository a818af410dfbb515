/**
 * The show command.
 */
import { Command } from 'clipanion';
import { EXIT, type ExitCode } from '../exit-code.js';
import { HostCommand } from '../cli-command.js';

/** Prints the active catalogue exactly as it was applied. */
export class ShowCommand extends HostCommand {
  static override paths = [['show']];
  static override usage = Command.Usage({
    description: 'Print the active catalogue, for example to edit and apply it.',
  });

  override async perform(): Promise<ExitCode> {
    const active = await this.connectOperator().configuration();
    if (active.isErr()) return this.fail(active.error);
    const { revision, text } = active.value;
    if (this.json) this.printJson({ revision, text });
    else this.context.stdout.write(text);
    this.warn(`revision ${String(revision)}`);
    return EXIT.success;
  }
}
