/**
 * The command that lists evacuated data centres.
 */
import { Command, Option, UsageError } from 'clipanion';
import { z } from 'zod';
import type { EvacuationState } from '../../evacuations/index.js';
import { CliCommand } from '../cli-command.js';
import { EVACUATION_COLUMNS } from '../columns.js';
import { EXIT, type ExitCode } from '../exit-code.js';
import { createHostClient } from '../host-client.js';
import { parseJson } from '../problem-document.js';
import { formatTable } from '../table.js';

/** Hosts answer from memory; one that is cut off must not keep the others from being asked. */
const RESPONSE_TIMEOUT_MS = 3000;
const SUCCESS_STATUS = 200;

const answerSchema = z.object({
  host: z.string(),
  leader: z.boolean(),
  /** `unknown` while a new leader reads them; missing on a deployment without evacuations. */
  evacuations: z
    .literal('unknown')
    .or(
      z.array(
        z.object({
          dataCentre: z.string(),
          since: z.string(),
          inForceMs: z.number(),
          workers: z.number(),
          runs: z.number(),
        }),
      ),
    )
    .optional(),
});

type Answer = z.infer<typeof answerSchema>;

/** Asks hosts until one leads, and prints the evacuations that are in force there. */
export class EvacuationsCommand extends CliCommand {
  static override paths = [['evacuations']];
  static override usage = Command.Usage({
    category: 'Tables',
    description: 'List the evacuated data centres with the workers and runs left there.',
  });

  host = Option.Array('--host', {
    description: 'Metrics address of a host, IP:PORT; repeat it for each host, as only one leads',
  });

  override async perform(): Promise<ExitCode> {
    const hosts = this.readHosts();
    const others: string[] = [];
    for (const host of hosts) {
      const answer = await ask(host);
      if (typeof answer === 'string') others.push(`${host}: ${answer}`);
      else if (!answer.leader) others.push(`${host}: does not lead`);
      else if (answer.evacuations === 'unknown') others.push(`${host}: leads, still reads`);
      else return this.printAnswer(answer.host, answer.evacuations);
    }
    const message = `No leader answered; name all hosts, or try again. ${others.join('; ')}`;
    return this.fail({ exit: EXIT.unreachable, message });
  }

  private readHosts(): readonly string[] {
    const hosts = this.host ?? [];
    if (hosts.length === 0) throw new UsageError('No host is given; add --host IP:PORT.');
    for (const host of hosts) {
      if (!/^[\w.-]+:\d{1,5}$/.test(host) || !URL.canParse(`http://${host}`)) {
        throw new UsageError(`"${host}" is not a metrics address; write IP:PORT.`);
      }
    }
    return hosts;
  }

  private printAnswer(host: string, evacuations: readonly EvacuationState[] | undefined): ExitCode {
    if (evacuations === undefined) {
      const message = `${host} follows no evacuations; set evacuate-ms under [bounds] of its settings.`;
      return this.fail({ exit: EXIT.refused, message });
    }
    if (this.json) this.printJson({ host, evacuations });
    else if (evacuations.length === 0) this.print('No data centre is evacuated.');
    else {
      const lines = formatTable(EVACUATION_COLUMNS, evacuations, this.colours());
      for (const line of lines) this.print(line);
    }
    return EXIT.success;
  }
}

/** Returns the answer of a host, or why there is none. */
async function ask(host: string): Promise<Answer | string> {
  const client = createHostClient({ hosts: [`http://${host}`] });
  const response = await client.call({
    method: 'GET',
    path: '/evacuations',
    timeoutMs: RESPONSE_TIMEOUT_MS,
  });
  if (response.isErr()) return response.error.detail;
  const { status } = response.value;
  if (status !== SUCCESS_STATUS) return `answered with status ${String(status)}`;
  const answer = answerSchema.safeParse(parseJson(response.value));
  return answer.success ? answer.data : 'answered something else than evacuations';
}
