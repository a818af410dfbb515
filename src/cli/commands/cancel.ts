/**
 * The cancel command.
 */
import { Command, Option } from 'clipanion';
import { EXIT, type ExitCode } from '../exit-code.js';
import type { HostResponse } from '../host-client.js';
import { describeProblem, parseJson } from '../problem-document.js';
import { HostCommand } from '../cli-command.js';

const OK_STATUS = 200;

/** Cancels a request wherever it waits or runs. */
export class CancelCommand extends HostCommand {
  static override paths = [['cancel']];
  static override usage = Command.Usage({
    category: 'Requests',
    description: 'Cancel a request that waits, or stop it if it runs.',
  });

  id = Option.String();

  override async perform(): Promise<ExitCode> {
    const path = `/v1/requests/${encodeURIComponent(this.id)}`;
    const answer = await this.connect().call({ method: 'DELETE', path });
    return answer.match(
      (value) => this.printAnswer(value),
      ({ kind, detail }) => {
        this.warn(`The cancellation may not have arrived: ${detail}`);
        return kind === 'unreachable' ? EXIT.unreachable : EXIT.unknown;
      },
    );
  }

  private printAnswer(answer: HostResponse): ExitCode {
    if (answer.status !== OK_STATUS) {
      this.warn(describeProblem(answer));
      return EXIT.refused;
    }
    const { cancellation = 'unknown' } = parseJson(answer) as { cancellation?: string };
    if (this.json) this.printJson({ id: this.id, cancellation });
    else this.print(`${this.id} ${cancellation}`);
    return EXIT.success;
  }
}
