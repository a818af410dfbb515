/**
 * Base classes of the commands: output, failures and the choice of hosts.
 */
import { readFile } from 'node:fs/promises';
import { Command, Option, UsageError } from 'clipanion';
import { formatFinding, type Finding } from '../catalogue/index.js';
import { EXIT, type ExitCode, type Failure } from './exit-code.js';
import { supportsColours } from './colours.js';
import { createHostClient, type HostClient } from './host-client.js';
import { createOperatorClient, type OperatorClient } from './operator-client.js';

/** Base class of all commands. */
export abstract class CliCommand extends Command {
  json = Option.Boolean('--json', false, { description: 'Print JSON instead of text' });

  abstract perform(): Promise<ExitCode>;

  override async execute(): Promise<ExitCode> {
    try {
      return await this.perform();
    } catch (error) {
      if (!(error instanceof UsageError)) throw error;
      this.warn(error.message);
      return EXIT.usage;
    }
  }

  protected print(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }

  protected printJson(value: unknown): void {
    this.print(JSON.stringify(value, null, 2));
  }

  protected warn(line: string): void {
    this.context.stderr.write(`${line}\n`);
  }

  protected fail(failure: Failure): ExitCode {
    for (const finding of failure.findings ?? []) this.warn(formatFinding(finding));
    this.warn(failure.message);
    return failure.exit;
  }

  /** Findings are the result of a check, so they are printed to standard output. */
  protected printFindings(findings: readonly Finding[]): ExitCode {
    if (this.json) this.printJson(findings);
    else for (const finding of findings) this.print(formatFinding(finding));
    return findings.length === 0 ? EXIT.success : EXIT.refused;
  }

  protected colours(): boolean {
    return supportsColours(this.context);
  }

  protected async readText(file: string): Promise<string> {
    return (await this.readBytes(file)).toString('utf8');
  }

  protected async readBytes(file: string): Promise<Buffer> {
    try {
      return await readFile(file);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new UsageError(`Cannot read ${file} (${reason}); correct the path.`);
    }
  }

  /** Parses an option that must be a whole number. */
  protected readNumber(name: string, text: string): number {
    if (/^\d{1,15}$/.test(text)) return Number(text);
    throw new UsageError(`--${name} is "${text}"; write a whole number.`);
  }
}

/** Base class of the commands that call entry hosts. */
export abstract class HostCommand extends CliCommand {
  host = Option.Array('--host', {
    description:
      'URL of an entry host; repeat it for hosts to fail over to (environment: SAPPHIREWING_HOST)',
  });

  key = Option.String('--key', {
    description:
      'Secret of the API key (environment: SAPPHIREWING_KEY, which other users cannot see)',
  });

  protected connect(): HostClient {
    const hosts = this.host ?? (this.context.env.SAPPHIREWING_HOST ?? '').split(/[\s,]+/);
    const urls = hosts.filter((host) => host !== '');
    if (urls.length === 0) {
      throw new UsageError('No host is given; add --host URL or set SAPPHIREWING_HOST.');
    }
    for (const host of urls) {
      if (!URL.canParse(host) || !/^https?:$/.test(new URL(host).protocol)) {
        throw new UsageError(`"${host}" is not the URL of a host; write http://ADDRESS:PORT.`);
      }
    }
    const key = this.key ?? this.context.env.SAPPHIREWING_KEY;
    return createHostClient({ hosts: urls, key });
  }

  protected connectOperator(): OperatorClient {
    return createOperatorClient(this.connect());
  }
}
