/**
 * The check command, which needs no host.
 */
import { Command, Option } from 'clipanion';
import {
  CATALOGUE_SECTIONS,
  propertiesOf,
  parseCatalogue,
  parseSource,
  type Finding,
} from '../../catalogue/index.js';
import { parseSettings, SETTINGS_FIELDS } from '../../settings/index.js';
import { EXIT, type ExitCode } from '../exit-code.js';
import { CliCommand } from '../cli-command.js';

type FileKind = 'catalogue' | 'settings';

/** Checks a catalogue or settings file locally. */
export class CheckCommand extends CliCommand {
  static override paths = [['check']];
  static override usage = Command.Usage({
    description: 'Check a catalogue or the settings of a daemon, and print all findings.',
  });

  file = Option.String();

  override async perform(): Promise<ExitCode> {
    const text = await this.readText(this.file);
    const kind = detectFileKind(text);
    const findings = checkText(text, this.file, kind);
    const exit = this.printFindings(findings);
    if (exit === EXIT.success && !this.json)
      this.print(`${this.file}: no findings (${kind ?? ''})`);
    return exit;
  }
}

/** Detects the kind of a file by its top-level fields. */
export function detectFileKind(text: string): FileKind | undefined {
  const fields = Object.keys(propertiesOf(parseSource(text, '').value));
  const sections: readonly string[] = CATALOGUE_SECTIONS;
  const catalogue = fields.filter((field) => sections.includes(field)).length;
  const settings = fields.filter((field) => SETTINGS_FIELDS.includes(field)).length;
  if (catalogue === 0 && settings === 0) return undefined;
  return settings > catalogue ? 'settings' : 'catalogue';
}

function checkText(text: string, file: string, kind: FileKind | undefined): readonly Finding[] {
  if (kind === 'catalogue') return findingsOf(parseCatalogue(text, file));
  if (kind === 'settings') return findingsOf(parseSettings(text, file));
  const source = parseSource(text, file);
  if (source.findings.length > 0) return source.findings;
  return [
    source.findingAt(
      [],
      'the file is neither a catalogue nor the settings of a daemon',
      `write one of the fields ${CATALOGUE_SECTIONS.join(', ')} or ${SETTINGS_FIELDS.join(', ')}`,
    ),
  ];
}

function findingsOf(result: {
  match: (
    ok: () => readonly Finding[],
    err: (findings: readonly Finding[]) => readonly Finding[],
  ) => readonly Finding[];
}): readonly Finding[] {
  return result.match(
    () => [],
    (findings) => findings,
  );
}
