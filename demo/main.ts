/**
 * Demonstrates the scheduler with separate processes in two data centres with two entry daemons each: submits a
 * lookup, a booking (twice, with the same id), a deferrable job and a gang, and prints each outcome with its time
 * line. Exits with 0 if every request ended as done.
 */
import { v7 as mintId } from 'uuid';
import { fetch } from 'undici';
import { startCell, type Cell, type EntryProcess } from '../stand-ins/cell.js';
import { DEMO_CATALOGUE, DEMO_KEY } from './catalogue.js';

const WORKERS_PER_DATA_CENTRE = 4;
const EXIT_FAILED = 1;

interface Step {
  readonly title: string;
  readonly entry: string;
  readonly input: unknown;
  readonly id?: string;
}

interface StepResult {
  readonly outcome: string;
  readonly id: string;
  readonly worker: string;
  readonly body: string;
}

const started = Date.now();
const cell = await startCell({
  dataCentres: ['gdl-1', 'gdl-2'].map((name) => ({ name, hosts: 2, workers: listWorkers(name) })),
  catalogue: DEMO_CATALOGUE,
});
try {
  print(
    `${String(cell.hosts.length)} entry hosts and ${String(cell.workers.workers.length)} workers are ready after ${String(Date.now() - started)} ms.\n`,
  );
  await runSteps(cell);
} finally {
  await cell.stop();
}

async function runSteps({ hosts, operator }: Cell): Promise<void> {
  const bookingId = mintId();
  const booking = { lawn: 3, day: '2026-12-05', slot: '10:00' };
  const steps: readonly Step[] = [
    { title: 'A lookup', entry: 'slot-lookup', input: { runMs: 20, echo: { lawn: 3 } } },
    { title: 'A booking', entry: 'slot-booking', id: bookingId, input: { echo: booking } },
    {
      title: 'The same booking again, at another host',
      entry: 'slot-booking',
      id: bookingId,
      input: { echo: booking },
    },
    { title: 'A deferrable job', entry: 'season-allocation', input: { runMs: 200, echo: 'ok' } },
    { title: 'A gang of five tasks', entry: 'maintenance-plan', input: { runMs: 100, echo: 'ok' } },
  ];
  for (const [index, step] of steps.entries()) {
    const host = hosts[index % hosts.length];
    if (host === undefined) continue;
    const result = await submit(host, step);
    print(
      `${step.title} at ${host.id}: ${result.outcome}${result.worker ? ` on ${result.worker}` : ''}`,
    );
    print(`  answer  ${result.body.trim().slice(0, 160)}`);
    for (const event of await operator.timeline(result.id)) {
      print(
        `  ${formatTime(event.at.ms)}  ${event.host.padEnd(12)} ${event.kind.padEnd(14)} ${event.worker ?? ''} ${event.detail ?? ''}`,
      );
    }
    print('');
    if (result.outcome !== 'done') process.exitCode = EXIT_FAILED;
  }
}

async function submit(host: EntryProcess, { entry, input, id }: Step): Promise<StepResult> {
  const answer = await fetch(`${host.url}/v1/requests`, {
    method: 'POST',
    headers: { authorization: `Bearer ${DEMO_KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify({ entry, input, wait: true, ...(id !== undefined && { id }) }),
  });
  const body = await answer.text();
  return {
    outcome: answer.headers.get('sapphirewing-outcome') ?? String(answer.status),
    id: answer.headers.get('sapphirewing-request') ?? id ?? '',
    worker: answer.headers.get('sapphirewing-worker') ?? '',
    body,
  };
}

function listWorkers(dataCentre: string): readonly object[] {
  return Array.from({ length: WORKERS_PER_DATA_CENTRE }, (_, index) => ({
    id: `${dataCentre}-worker-${String(index + 1)}`,
    rack: `rack-${String((index % 2) + 1)}`,
    capacity: { processors: 8, memoryMb: 16_384, accelerators: 0 },
    slots: 8,
    connections: 64,
  }));
}

function formatTime(ms: number): string {
  return new Date(ms).toISOString().slice('2026-12-05T'.length, -1);
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
