/**
 * Guarantee 9: every planned stop is a graceful shutdown that interrupts no request.
 */
import { expect } from 'chai';
import { request } from 'undici';
import {
  explainFailures,
  failuresOf,
  readStatus,
  report,
  startLoad,
  submit,
  TEAM_KEY,
  until,
  useCell,
  type Addressed,
  type Answer,
  type Cell,
} from './support.js';

const JOB = { key: TEAM_KEY, wait: false } as const;
const MAX_STOP_MS = 15_000;
/** What HTTP libraries of callers use at most unless told otherwise. */
const LONGEST_CALLER_KEEP_ALIVE_S = 30;

/** Hosts that the load balancer knows; a new one is added once its health check passes. */
async function replace(
  cell: Cell,
  host: Cell['hosts'][number],
  balanced: Cell['hosts'],
): Promise<number | null> {
  const startedAt = Date.now();
  const code = await host.stop('SIGTERM');
  report(`${host.id} left within ${String(Date.now() - startedAt)} ms`);
  balanced.splice(balanced.indexOf(host), 1);
  const started = await cell.startHost(host.id, host.dataCentre);
  await cell.publishFleet();
  await until(`${host.id} serves`, () => isHealthy(started));
  balanced.push(started);
  await cell.ready();
  return code;
}

async function isHealthy({ url }: Addressed): Promise<boolean> {
  const answer = await request(`${url}/healthz`, { reset: true });
  await answer.body.dump();
  return answer.statusCode === 200;
}

describe('control: planned stops', () => {
  describe('a rolling restart of the whole cell under load', () => {
    const cell = useCell();

    it('cuts no request off, refuses none and ends jobs and gangs as done', async function () {
      this.timeout(60_000);
      const balanced = [...cell().hosts];
      const load = startLoad(() => balanced, 12, {
        entry: 'booking',
        key: TEAM_KEY,
        input: { runMs: 30 },
      });
      const waiting: Promise<Answer>[] = [];
      const codes: (number | null)[] = [];
      const startedAt = Date.now();
      for (const host of [...cell().hosts]) {
        // The callers of these jobs wait at the host that stops and at another one.
        const others = cell().hosts.filter(({ id }) => id !== host.id);
        for (const at of [host, ...others.slice(0, 1)]) {
          for (const entry of ['batch', 'plan']) {
            const input = { runMs: 1500, echo: `${host.id} ${entry}` };
            waiting.push(submit(at, { entry, key: TEAM_KEY, wait: true, input }));
          }
        }
        await until('the jobs start', async () => {
          const rows = await cell().operator.teams(others[0]);
          return (rows.find(({ team }) => team === 'lawns')?.running ?? 0) >= 4;
        });
        codes.push(await replace(cell(), host, balanced));
      }
      await load.stop();
      const jobs = await Promise.all(waiting);
      report(
        `rolling restart: ${String(load.seen.length)} requests in ${String(Date.now() - startedAt)} ms`,
      );
      expect(codes).to.deep.equal(cell().hosts.map(() => 0));
      expect(jobs.filter(({ status }) => status !== 200)).to.deep.equal([]);
      expect(failuresOf(load), await explainFailures(cell(), load)).to.deep.equal({});
    });
  });

  describe('a host that leaves', () => {
    const cell = useCell({ hosts: 2, workers: 1 });

    it('keeps idle connections longer than callers do, so that no request crosses their end', async () => {
      const host = cell().hosts[0];
      if (host === undefined) throw new Error('The cell has no host.');
      const answer = await request(`${host.url}/healthz`);
      await answer.body.dump();
      const [, keptS] = /timeout=(\d+)/.exec(String(answer.headers['keep-alive'])) ?? [];
      expect(Number(keptS)).to.be.at.least(LONGEST_CALLER_KEEP_ALIVE_S);
    });

    it('ends at once at a second signal', async () => {
      const host = cell().hosts[0];
      if (host === undefined) throw new Error('The cell has no host.');
      const slow = submit(host, { entry: 'lookup', key: TEAM_KEY, input: { runMs: 5000 } }).catch(
        () => undefined,
      );
      await until('the lookup runs', async () => {
        const rows = await cell().operator.teams(host);
        return rows.some(({ running }) => running > 0);
      });
      const startedAt = Date.now();
      const ended = host.stop('SIGTERM');
      await until('the host leaves', async () => {
        const rows = await cell().operator.hosts(cell().hosts[1]);
        return rows.some((row) => row.host === host.id && row.state === 'leaving');
      });
      host.signal('SIGTERM');
      expect(await ended).to.equal(1);
      expect(Date.now() - startedAt).to.be.lessThan(MAX_STOP_MS / 5);
      await slow;
      await cell().startHost(host.id, host.dataCentre);
      await cell().publishFleet();
      await cell().ready();
    });

    it('leaves queued and running jobs to a host that ends them as done', async () => {
      const [host, other] = cell().hosts;
      if (host === undefined || other === undefined) throw new Error('The cell has no hosts.');
      const receipts = await Promise.all(
        Array.from({ length: 12 }, (_, index) =>
          submit(host, { ...JOB, entry: 'batch', input: { runMs: 700, echo: index } }),
        ),
      );
      expect(await host.stop('SIGTERM')).to.equal(0);
      const ends = await Promise.all(receipts.map(({ id }) => readStatus(other, id, MAX_STOP_MS)));
      expect(ends.map(({ status }) => status)).to.deep.equal(receipts.map(() => 200));
    });
  });
});
