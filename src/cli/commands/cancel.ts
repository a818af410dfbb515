/**
 * The cancel command.
 */
import { Command, Option } from 'clipanion';
import { EXIT, type ExitCode } from '../exit-code.js';
import type { HostResponse } from '../host-client.js';
import { describeProblem, parseJson } from '../problem-document.js';
import { HostCommand } from '../cli-command.js';

const OK_STATUS = 200;

/** Cancels a queued or running request. */
export class CancelCommand extends HostCommand {
  static override paths = [['cancel']];
  static override usage = Command.Usage({
    category: 'Requests',
    description: 'Cancel a queued request, or stop it if it runs.',
  });

  id = Option.String();

  override async perform(): Promise<ExitCode> {
    const path = `/v1/requests/${encodeURIComponent(this.id)}`;
    const response = await this.connect().call({ method: 'DELETE', path });
    return response.match(
      (value) => this.printResponse(value),
      ({ kind, detail }) => {
        this.warn(`The cancellation may not have reached a host: ${detail}`);
        return kind === 'unreachable' ? EXIT.unreachable : EXIT.unknown;
      },
    );
  }

  private printResponse(response: HostResponse): ExitCode {
    if (response.status !== OK_STATUS) {
      this.warn(describeProblem(response));
      return EXIT.refused;
    }
    const { cancellation = 'unknown' } = parseJson(response) as { cancellation?: string };
    if (this.json) this.printJson({ id: this.id, cancellation });
    else this.print(`${this.id} ${cancellation}`);
    return EXIT.success;
  }
}
