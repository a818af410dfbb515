/**
 * The commands that grant, withdraw and list keys.
 */
import { randomBytes } from 'node:crypto';
import { writeFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { Command, Option, UsageError } from 'clipanion';
import { err, ok, type Result } from 'neverthrow';
import { match } from 'ts-pattern';
import {
  addKey,
  diffCatalogues,
  hashSecret,
  parseCatalogue,
  removeKey,
  type KeyEditError,
} from '../../catalogue/index.js';
import type { ApiKey } from '../../model/index.js';
import { ChangeCommand, describeChangeFailure, type AppliedChange } from '../change-command.js';
import { EXIT, type ExitCode, type Failure } from '../exit-code.js';
import type { OperatorClient } from '../operator-client.js';
import { formatTable, type Column } from '../table.js';
import { HostCommand } from '../cli-command.js';

const SECRET_BYTES = 32;
/** Key edits of several operators commute, so they are retried on the new revision. */
const MAX_ATTEMPTS = 10;
const RETRY_MS = 200;

type KeyEdit = (text: string) => Result<string, KeyEditError>;

abstract class KeyCommand extends ChangeCommand {
  file = Option.String('--file', {
    description: 'Catalogue file in which to make the same edit, so that it can still be applied',
  });

  /** Edits the keys of the file, if given, and the active keys. Does not write the file yet. */
  protected async edit(client: OperatorClient, edit: KeyEdit): Promise<Result<KeyChange, Failure>> {
    if (this.file === undefined) return this.editActive(client, edit);
    const fileText = edit(await this.readText(this.file));
    if (fileText.isErr()) return err(describeEditError(fileText.error, this.file));
    const changed = await this.editActive(client, edit);
    return changed.map((change) => ({ ...change, fileText: fileText.value }));
  }

  /** Reports the rollout and writes the edited file. */
  protected async finish(
    client: OperatorClient,
    { applied, before, after, fileText }: KeyChange,
    extra: Readonly<Record<string, unknown>>,
  ): Promise<ExitCode> {
    const exit = await this.report(client, applied, diffCatalogues(before, after), extra);
    if (this.file !== undefined && fileText !== undefined) await writeFile(this.file, fileText);
    return exit;
  }

  private async editActive(
    client: OperatorClient,
    edit: KeyEdit,
  ): Promise<Result<KeyChange, Failure>> {
    for (let attempt = 1; ; attempt += 1) {
      const active = await client.configuration();
      if (active.isErr()) return err(active.error);
      const before = active.value.text;
      const after = edit(before);
      if (after.isErr()) return err(describeEditError(after.error));
      const result = await this.sendText(client, after.value, active.value.revision);
      if (result.kind === 'applied') return ok({ applied: result, before, after: after.value });
      if (result.kind !== 'conflict' || attempt === MAX_ATTEMPTS) {
        return err(describeChangeFailure(result));
      }
      await sleep(RETRY_MS);
    }
  }

  /** Only the secret of a granted key goes to standard output, so that scripts can read it. */
  protected override printProgress(line: string): void {
    this.warn(line);
  }
}

interface KeyChange {
  readonly applied: AppliedChange;
  readonly before: string;
  readonly after: string;
  readonly fileText?: string;
}

/** Grants a key and prints its secret once. */
export class GrantKeyCommand extends KeyCommand {
  static override paths = [['keys', 'grant']];
  static override usage = Command.Usage({
    category: 'Keys',
    description: 'Grant a key and print its secret, which is not stored anywhere.',
  });

  id = Option.String();
  team = Option.String('--team', { description: 'Team that the key belongs to' });
  role = Option.String('--role', 'submitter', { description: 'submitter or operator' });

  override async perform(): Promise<ExitCode> {
    const secret = randomBytes(SECRET_BYTES).toString('base64url');
    const { role, team = 'operators' } = this;
    if (role !== 'submitter' && role !== 'operator') {
      throw new UsageError(`--role is "${role}"; write submitter or operator.`);
    }
    if (role === 'submitter' && this.team === undefined) {
      throw new UsageError('A submitter key belongs to a team; add --team NAME.');
    }
    const key: ApiKey = { id: this.id, team, hash: hashSecret(secret), role };
    const client = this.connectOperator();
    const changed = await this.edit(client, (text) => addKey(text, key));
    if (changed.isErr()) return this.fail(changed.error);
    // The key is active, so its secret is printed before anything else can fail.
    if (!this.json) this.print(secret);
    return this.finish(client, changed.value, { id: key.id, team, role, secret });
  }
}

/** Withdraws a key. */
export class WithdrawKeyCommand extends KeyCommand {
  static override paths = [['keys', 'withdraw']];
  static override usage = Command.Usage({
    category: 'Keys',
    description: 'Withdraw a key; hosts refuse it within seconds.',
  });

  id = Option.String();

  override async perform(): Promise<ExitCode> {
    const client = this.connectOperator();
    const changed = await this.edit(client, (text) => removeKey(text, this.id));
    if (changed.isErr()) return this.fail(changed.error);
    return this.finish(client, changed.value, { id: this.id });
  }
}

const KEY_COLUMNS: readonly Column<ApiKey>[] = [
  { title: 'key', value: (key) => key.id },
  { title: 'team', value: (key) => key.team },
  { title: 'role', value: (key) => key.role },
];

/** Lists the active keys. */
export class ListKeysCommand extends HostCommand {
  static override paths = [['keys', 'list']];
  static override usage = Command.Usage({
    category: 'Keys',
    description: 'List the active keys, without their secrets.',
  });

  override async perform(): Promise<ExitCode> {
    const active = await this.connectOperator().configuration();
    if (active.isErr()) return this.fail(active.error);
    const keys = parseCatalogue(active.value.text).match(
      (document) => document.keys,
      (): readonly ApiKey[] => [],
    );
    if (this.json) this.printJson(keys.map(({ id, team, role }) => ({ id, team, role })));
    else for (const line of formatTable(KEY_COLUMNS, keys, this.colours())) this.print(line);
    return EXIT.success;
  }
}

function describeEditError(error: KeyEditError, file = 'the active configuration'): Failure {
  return match(error)
    .with({ kind: 'exists' }, ({ id }) => ({
      exit: EXIT.refused,
      message: `A key "${id}" already exists in ${file}; withdraw it first or choose another id.`,
    }))
    .with({ kind: 'absent' }, ({ id }) => ({
      exit: EXIT.refused,
      message: `There is no key "${id}" in ${file}; run keys list to see the active keys.`,
    }))
    .with({ kind: 'invalid' }, ({ findings }) => ({
      exit: EXIT.refused,
      message: `The edited keys of ${file} are invalid; correct the findings.`,
      findings: findings.map((finding) => ({ ...finding, file })),
    }))
    .exhaustive();
}
