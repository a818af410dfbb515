/**
 * The commands that submit requests and read their status.
 */
import { Command, Option, UsageError } from 'clipanion';
import { isRequestId, createRequestId } from '../../model/index.js';
import { EXIT, type ExitCode } from '../exit-code.js';
import type { HostRequest, HostRequestError } from '../host-client.js';
import { describeOutcome, type OutcomeReport } from '../outcome.js';
import { HostCommand } from '../cli-command.js';

const DEFAULT_WAIT_MS = '0';
/** Extra time for the response, beyond the wait that the host is asked for. */
const RESPONSE_MARGIN_MS = 10_000;

abstract class RequestCommand extends HostCommand {
  protected async sendRequest(request: HostRequest, id: string): Promise<ExitCode> {
    const response = await this.connect().call(request);
    return this.printOutcome(
      response.match(
        (value) => describeOutcome(value, id, this.json),
        (error) => describeRequestError(error, id),
      ),
    );
  }

  private printOutcome({ exit, output, message }: OutcomeReport): ExitCode {
    if (output !== undefined) this.context.stdout.write(output);
    if (message !== undefined) this.warn(message);
    return exit;
  }
}

/** Submits a request and prints its outcome or receipt. */
export class SubmitCommand extends RequestCommand {
  static override paths = [['submit']];
  static override usage = Command.Usage({
    category: 'Requests',
    description: 'Submit a request for an entry of the catalogue.',
  });

  entry = Option.String();
  input = Option.String('--input', { description: 'Input of the request as JSON' });
  file = Option.String('--file', { description: 'File with the input of the request' });
  contentType = Option.String('--content-type', 'application/octet-stream', {
    description: 'Media type of the file',
  });
  id = Option.String('--id', {
    description: 'Id of the request; reuse it to retry the request safely',
  });
  deadlineMs = Option.String('--deadline-ms', {
    description: 'Longest wait until the request starts, in milliseconds',
  });
  wait = Option.Boolean('--wait', {
    description: 'Wait for the outcome; --no-wait returns a receipt',
  });

  override async perform(): Promise<ExitCode> {
    const id = this.id ?? createRequestId();
    if (!isRequestId(id)) throw new UsageError(`--id is "${id}"; write a UUID of version 7.`);
    if (this.file !== undefined && this.input !== undefined) {
      throw new UsageError('--input and --file cannot be combined; remove one of them.');
    }
    const request =
      this.file === undefined
        ? this.createJsonRequest(id)
        : await this.createRawRequest(id, this.file);
    return this.sendRequest({ ...request, timeoutMs: 0 }, id);
  }

  private createJsonRequest(id: string): HostRequest {
    const body = {
      entry: this.entry,
      id,
      input: parseInput(this.input ?? 'null'),
      deadlineMs: this.readDeadline(),
      wait: this.wait,
    };
    return {
      method: 'POST',
      path: '/v1/requests',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    };
  }

  private async createRawRequest(id: string, file: string): Promise<HostRequest> {
    const deadlineMs = this.readDeadline();
    return {
      method: 'POST',
      path: `/v1/entries/${encodeURIComponent(this.entry)}/requests`,
      headers: {
        'content-type': this.contentType,
        'request-id': id,
        ...(deadlineMs !== undefined && { 'deadline-ms': String(deadlineMs) }),
        ...(this.wait !== undefined && { wait: String(this.wait) }),
      },
      body: await this.readBytes(file),
    };
  }

  private readDeadline(): number | undefined {
    return this.deadlineMs === undefined
      ? undefined
      : this.readNumber('deadline-ms', this.deadlineMs);
  }
}

/** Prints the state or the outcome of a request. */
export class StatusCommand extends RequestCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    category: 'Requests',
    description: 'Print the state of a request, or its outcome once it has ended.',
  });

  id = Option.String();
  waitMs = Option.String('--wait-ms', DEFAULT_WAIT_MS, {
    description: 'Longest wait for the request to end, in milliseconds',
  });

  override async perform(): Promise<ExitCode> {
    const waitMs = this.readNumber('wait-ms', this.waitMs);
    const path = `/v1/requests/${encodeURIComponent(this.id)}?waitMs=${String(waitMs)}`;
    return this.sendRequest(
      { method: 'GET', path, timeoutMs: waitMs + RESPONSE_MARGIN_MS },
      this.id,
    );
  }
}

function parseInput(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new UsageError(
      '--input is not valid JSON; quote strings, or use --file for other inputs.',
    );
  }
}

function describeRequestError(error: HostRequestError, id: string): OutcomeReport {
  if (error.kind === 'unreachable') {
    return { exit: EXIT.unreachable, message: `No host could be reached: ${error.detail}` };
  }
  const message = `${id} may have run, the response was lost: ${error.detail}. Check with: sapphirewing status ${id}`;
  return { exit: EXIT.unknown, message };
}
