/**
 * The command-line tool: parses the arguments, runs one command and returns its exit code.
 */
import { Builtins, Cli, type BaseContext } from 'clipanion';
import { supportsColours } from './colours.js';
import { ApplyCommand } from './commands/apply.js';
import { CancelCommand } from './commands/cancel.js';
import { CheckCommand } from './commands/check.js';
import { DiffCommand } from './commands/diff.js';
import { EvacuationsCommand } from './commands/evacuations.js';
import { GrantKeyCommand, ListKeysCommand, WithdrawKeyCommand } from './commands/keys.js';
import { ShowCommand } from './commands/show.js';
import { StatusCommand, SubmitCommand } from './commands/requests.js';
import { HostsCommand, QueueCommand, TeamsCommand, WorkersCommand } from './commands/tables.js';
import { TimelineCommand } from './commands/timeline.js';
import { EXIT } from './exit-code.js';

const COMMANDS = [
  Builtins.HelpCommand,
  ApplyCommand,
  CancelCommand,
  CheckCommand,
  DiffCommand,
  EvacuationsCommand,
  GrantKeyCommand,
  HostsCommand,
  ListKeysCommand,
  QueueCommand,
  ShowCommand,
  StatusCommand,
  SubmitCommand,
  TeamsCommand,
  TimelineCommand,
  WithdrawKeyCommand,
  WorkersCommand,
];

/** Runs the tool; `args` does not include the name of the program. */
export async function runCli(
  args: readonly string[],
  context: BaseContext = Cli.defaultContext,
): Promise<number> {
  const cli = new Cli({
    binaryLabel: 'Sapphirewing cluster scheduler',
    binaryName: 'sapphirewing',
    enableColors: supportsColours(context),
  });
  for (const command of COMMANDS) cli.register(command);
  try {
    return await cli.run(cli.process([...args], context), context);
  } catch (error) {
    context.stderr.write(cli.error(error));
    return EXIT.usage;
  }
}
