/**
 * The commands that print the operators' tables.
 */
import { Command } from 'clipanion';
import { HOST_COLUMNS, QUEUE_COLUMNS, TEAM_COLUMNS, WORKER_COLUMNS } from '../columns.js';
import { EXIT, type ExitCode } from '../exit-code.js';
import { formatTable, type Column } from '../table.js';
import { HostCommand } from '../cli-command.js';

abstract class TableCommand extends HostCommand {
  protected async show<Row>(path: string, columns: readonly Column<Row>[]): Promise<ExitCode> {
    const table = await this.connectOperator().table(path);
    if (table.isErr()) return this.fail(table.error);
    const { unreachable } = table.value;
    const rows = table.value.rows as readonly Row[];
    if (this.json) this.printJson({ rows, unreachable });
    else for (const line of formatTable(columns, rows, this.colours())) this.print(line);
    if (unreachable.length > 0) {
      this.warn(`Some hosts did not respond, so their rows are missing: ${unreachable.join(', ')}`);
    }
    return EXIT.success;
  }
}

export class QueueCommand extends TableCommand {
  static override paths = [['queue']];
  static override usage = Command.Usage({
    category: 'Tables',
    description: 'Print the queued requests per host and entry.',
  });

  override perform(): Promise<ExitCode> {
    return this.show('queue', QUEUE_COLUMNS);
  }
}

export class WorkersCommand extends TableCommand {
  static override paths = [['workers']];
  static override usage = Command.Usage({
    category: 'Tables',
    description: 'Print the workers, the hosts that hold them and their free resources.',
  });

  override perform(): Promise<ExitCode> {
    return this.show('workers', WORKER_COLUMNS);
  }
}

export class TeamsCommand extends TableCommand {
  static override paths = [['teams']];
  static override usage = Command.Usage({
    category: 'Tables',
    description: 'Print the usage, the shares and the limits of the teams.',
  });

  override perform(): Promise<ExitCode> {
    return this.show('teams', TEAM_COLUMNS);
  }
}

export class HostsCommand extends TableCommand {
  static override paths = [['hosts']];
  static override usage = Command.Usage({
    category: 'Tables',
    description: 'Print the entry hosts and the configuration revision of each.',
  });

  override perform(): Promise<ExitCode> {
    return this.show('hosts', HOST_COLUMNS);
  }
}
