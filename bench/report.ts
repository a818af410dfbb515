/**
 * Compares two result files of the benchmark in one HTML page with bar charts:
 * `node dist/bench/report.js BEFORE.json AFTER.json OUT.html`. No plotting library is among the
 * dependencies, so the charts are written as SVG.
 */
import { readFile, writeFile } from 'node:fs/promises';
import type { PhaseReport } from './support/print.js';
import type { HostRates } from './support/probe.js';

interface ResultFile {
  readonly user: string;
  readonly seed: number;
  readonly seconds: number;
  readonly idle: HostRates;
  readonly phases: readonly PhaseReport[];
}

interface Group {
  readonly label: string;
  readonly values: readonly (number | undefined)[];
}

interface Chart {
  readonly title: string;
  readonly groups: readonly Group[];
}

const EXIT_USAGE = 2;
const ROW_HEIGHT = 16;
const GROUP_GAP = 8;
const LABEL_WIDTH = 210;
const BAR_WIDTH = 420;
const VALUE_WIDTH = 90;
const COLOURS = ['#8a8a8a', '#2266aa'];

const [beforeFile, afterFile, output] = process.argv.slice(2);
if (beforeFile === undefined || afterFile === undefined || output === undefined) {
  process.stderr.write('Usage: node dist/bench/report.js BEFORE.json AFTER.json OUT.html\n');
  process.exitCode = EXIT_USAGE;
} else {
  const files = [beforeFile, afterFile];
  const results = await Promise.all(files.map(readResult));
  await writeFile(output, describePage(files, results));
}

async function readResult(file: string): Promise<ResultFile> {
  return JSON.parse(await readFile(file, 'utf8')) as ResultFile;
}

function describePage(files: readonly string[], results: readonly ResultFile[]): string {
  const legend = results
    .map(({ user, seed, seconds }, index) => {
      const run = `${files[index] ?? ''}: ${user}, seed ${String(seed)}, ${String(seconds)} s a phase`;
      return `<li style="color: ${COLOURS[index] ?? ''}">${escapeText(run)}</li>`;
    })
    .join('\n');
  return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>Comparison of two runs of the bench</title>
<style>body { font: 14px sans-serif; margin: 2em } text { font: 11px sans-serif }</style>
<h1>Comparison of two runs</h1>
<ul>
${legend}
</ul>
${listCharts(results).map(drawChart).join('\n')}
</html>
`;
}

function listCharts(results: readonly ResultFile[]): readonly Chart[] {
  const names = [...new Set(results.flatMap(({ phases }) => phases.map(({ name }) => name)))];
  const perPhase = (title: string, pick: (phase: PhaseReport) => number): Chart => ({
    title,
    groups: names.map((label) => ({
      label,
      values: results.map(({ phases }) => {
        const phase = phases.find(({ name }) => name === label);
        return phase && pick(phase);
      }),
    })),
  });
  const idle = (title: string, pick: (rates: HostRates) => number): Chart => ({
    title,
    groups: [{ label: 'idle', values: results.map((result) => pick(result.idle)) }],
  });
  const kinds = [
    ...new Set(
      results.flatMap(({ phases }) =>
        phases.flatMap(({ classes }) => classes.map(({ kind }) => kind)),
      ),
    ),
  ];
  return [
    ...kinds.flatMap((kind) => {
      const row = (phase: PhaseReport) => phase.classes.find((each) => each.kind === kind);
      return [
        perPhase(`${kind}: waiting time p50, ms`, (phase) => row(phase)?.waitP50Ms ?? NaN),
        perPhase(`${kind}: waiting time p99, ms`, (phase) => row(phase)?.waitP99Ms ?? NaN),
        perPhase(`${kind}: refused requests`, (phase) => row(phase)?.results.refused ?? NaN),
      ];
    }),
    perPhase('goodput, requests/s', (phase) => phase.goodputPerSecond),
    perPhase('daemon processor time per placement, ms', (phase) => phase.cpuMsPerPlacement),
    perPhase('slots in use while work waits, %', (phase) => phase.packing.slots * 100),
    perPhase('distance to share, %', (phase) => phase.packing.shareDistance * 100),
    perPhase('link traffic of a host, KB/s', (phase) => phase.rates.linkBytesPerSecond / 1000),
    perPhase('store calls of a host per second', (phase) => phase.rates.storeCallsPerSecond),
    perPhase('largest resident memory, MB', (phase) => phase.rates.residentMb),
    idle('idle processor share of a host, %', (rates) => rates.processorShare * 100),
    idle('idle link traffic of a host, KB/s', (rates) => rates.linkBytesPerSecond / 1000),
    idle('idle store calls of a host per second', (rates) => rates.storeCallsPerSecond),
  ];
}

function drawChart({ title, groups }: Chart): string {
  const values = groups.flatMap((group) => group.values.map((value) => value ?? NaN));
  const largest = Math.max(...values.filter(Number.isFinite), Number.MIN_VALUE);
  const height = groups.length * (2 * ROW_HEIGHT + GROUP_GAP);
  const width = LABEL_WIDTH + BAR_WIDTH + VALUE_WIDTH;
  const bars = groups.map((group, index) => {
    const top = index * (2 * ROW_HEIGHT + GROUP_GAP);
    const label = `<text x="0" y="${String(top + ROW_HEIGHT)}">${escapeText(group.label)}</text>`;
    return label + group.values.map((value, run) => drawBar(value, run, top, largest)).join('');
  });
  return `<h2>${escapeText(title)}</h2>
<svg width="${String(width)}" height="${String(height)}">${bars.join('\n')}</svg>`;
}

function drawBar(value: number | undefined, run: number, top: number, largest: number): string {
  if (value === undefined || !Number.isFinite(value)) return '';
  const y = top + run * ROW_HEIGHT;
  const length = (value / largest) * BAR_WIDTH;
  const shown = value < 10 ? value.toFixed(2) : value.toFixed(0);
  return `<rect x="${String(LABEL_WIDTH)}" y="${String(y)}" width="${length.toFixed(1)}" height="${String(ROW_HEIGHT - 3)}" fill="${COLOURS[run] ?? ''}"/><text x="${(LABEL_WIDTH + length + 4).toFixed(1)}" y="${String(y + ROW_HEIGHT - 5)}">${shown}</text>`;
}

function escapeText(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}
