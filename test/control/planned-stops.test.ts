/**
 * Guarantee 9: every planned stop is a graceful shutdown that interrupts no request.
 */
import { expect } from 'chai';
import { request } from 'undici';
import {
  countFailures,
  eventually,
  explainFailures,
  readStatus,
  reportFigure,
  startLoad,
  submit,
  TEAM_KEY,
  useCell,
  type Answer,
  type Cell,
  type Endpoint,
} from './support.js';

const JOB_SUBMISSION = { key: TEAM_KEY, wait: false } as const;
const MAX_STOP_MS = 15_000;
/** The longest default keep-alive time of the callers' HTTP libraries. */
const MAX_CALLER_KEEP_ALIVE_S = 30;

/** Stops a host and starts it again; the load balancer gets the new process once its health check passes. */
async function restartHost(
  cell: Cell,
  host: Cell['hosts'][number],
  balancedHosts: Cell['hosts'],
): Promise<number | null> {
  const startedAt = Date.now();
  const code = await host.stop('SIGTERM');
  reportFigure(`${host.id} stopped within ${String(Date.now() - startedAt)} ms`);
  balancedHosts.splice(balancedHosts.indexOf(host), 1);
  const started = await cell.startHost(host.id, host.dataCentre);
  await cell.publishFleet();
  await eventually(`${host.id} serves`, () => isHealthy(started));
  balancedHosts.push(started);
  await cell.ready();
  return code;
}

async function isHealthy({ url }: Endpoint): Promise<boolean> {
  const answer = await request(`${url}/healthz`, { reset: true });
  await answer.body.dump();
  return answer.statusCode === 200;
}

describe('control: planned stops', () => {
  describe('a rolling restart of the whole cell under load', () => {
    const cell = useCell();

    it('cuts no request off, refuses none and ends jobs and gangs as done', async function () {
      this.timeout(60_000);
      const balancedHosts = [...cell().hosts];
      const load = startLoad(() => balancedHosts, 12, {
        entry: 'booking',
        key: TEAM_KEY,
        input: { runMs: 30 },
      });
      const waiting: Promise<Answer>[] = [];
      const codes: (number | null)[] = [];
      const startedAt = Date.now();
      for (const host of [...cell().hosts]) {
        // The callers of these jobs wait at the stopping host and at another one.
        const others = cell().hosts.filter(({ id }) => id !== host.id);
        for (const at of [host, ...others.slice(0, 1)]) {
          for (const entry of ['batch', 'plan']) {
            const input = { runMs: 1500, echo: `${host.id} ${entry}` };
            waiting.push(submit(at, { entry, key: TEAM_KEY, wait: true, input }));
          }
        }
        await eventually('the jobs start', async () => {
          const rows = await cell().operator.teams(others[0]);
          return (rows.find(({ team }) => team === 'lawns')?.running ?? 0) >= 4;
        });
        codes.push(await restartHost(cell(), host, balancedHosts));
      }
      await load.stop();
      const jobs = await Promise.all(waiting);
      reportFigure(
        `rolling restart: ${String(load.seen.length)} requests in ${String(Date.now() - startedAt)} ms`,
      );
      expect(codes).to.deep.equal(cell().hosts.map(() => 0));
      expect(jobs.filter(({ status }) => status !== 200)).to.deep.equal([]);
      expect(countFailures(load), await explainFailures(cell(), load)).to.deep.equal({});
    });
  });

  describe('a host that leaves', () => {
    const cell = useCell({ hosts: 2, workers: 1 });

    it('keeps idle connections longer than callers do, so that no request meets a closing connection', async () => {
      const host = cell().hosts[0];
      if (host === undefined) throw new Error('The cell has no host.');
      const answer = await request(`${host.url}/healthz`);
      await answer.body.dump();
      const [, keptS] = /timeout=(\d+)/.exec(String(answer.headers['keep-alive'])) ?? [];
      expect(Number(keptS)).to.be.at.least(MAX_CALLER_KEEP_ALIVE_S);
    });

    it('exits at once on a second signal', async () => {
      const host = cell().hosts[0];
      if (host === undefined) throw new Error('The cell has no host.');
      const slow = submit(host, { entry: 'lookup', key: TEAM_KEY, input: { runMs: 5000 } }).catch(
        () => undefined,
      );
      await eventually('the lookup runs', async () => {
        const rows = await cell().operator.teams(host);
        return rows.some(({ running }) => running > 0);
      });
      const startedAt = Date.now();
      const ended = host.stop('SIGTERM');
      await eventually('the host is leaving', async () => {
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

    it('hands queued and running jobs over to a host that ends them as done', async () => {
      const [host, other] = cell().hosts;
      if (host === undefined || other === undefined) throw new Error('The cell has no hosts.');
      const receipts = await Promise.all(
        Array.from({ length: 12 }, (_, index) =>
          submit(host, { ...JOB_SUBMISSION, entry: 'batch', input: { runMs: 700, echo: index } }),
        ),
      );
      expect(await host.stop('SIGTERM')).to.equal(0);
      const ends = await Promise.all(receipts.map(({ id }) => readStatus(other, id, MAX_STOP_MS)));
      expect(ends.map(({ status }) => status)).to.deep.equal(receipts.map(() => 200));
    });
  });
});
