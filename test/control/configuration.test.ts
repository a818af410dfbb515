/**
 * Guarantee 10: an accepted configuration takes effect everywhere within 7 s and never reverts.
 */
import { expect } from 'chai';
import { request } from 'undici';
import { callControlRoute } from '../../stand-ins/control.js';
import {
  DATA_CENTRES,
  describeCatalogue,
  heal,
  hostsOf,
  OPERATOR_KEY,
  partition,
  report,
  setStoreFaults,
  until,
  useCell,
  type Addressed,
  type Cell,
} from './support.js';

const MAX_ROLLOUT_MS = 7000;
const PROBE_MS = 500;
/** Shorter than the suspicion timeout. */
const LATE_MS = 400;
const [FIRST = '', SECOND = ''] = DATA_CENTRES;

interface Applied {
  readonly revision: number;
  /** Time from which the bound counts. */
  readonly at: number;
}

async function readRevision({ url }: Addressed): Promise<number> {
  const answer = await request(`${url}/v1/operator/configuration`, {
    headers: { authorization: `Bearer ${OPERATOR_KEY}` },
    reset: true,
    signal: AbortSignal.timeout(PROBE_MS),
  });
  return ((await answer.body.json()) as { revision: number }).revision;
}

/** Waits until the hosts run the revision, and reports how long that took. */
async function awaitRevision(
  hosts: Cell['hosts'],
  { revision, at }: Applied,
  what: string,
): Promise<void> {
  await Promise.all(
    hosts.map((host) =>
      until(
        `${host.id} runs revision ${String(revision)}`,
        async () => {
          const own = await readRevision(host);
          return own >= revision || own;
        },
        MAX_ROLLOUT_MS,
      ),
    ),
  );
  report(`${what}: in force after ${String(Date.now() - at)} ms`);
}

/** Reads the revisions of all hosts all the time and notes each that is lower than before. */
function watchRevisions(cell: () => Cell) {
  const highest = new Map<string, number>();
  const falls: string[] = [];
  let ended = false;

  async function read(): Promise<void> {
    while (!ended) {
      await Promise.all(
        cell().hosts.map(async (host) => {
          // A host that was replaced starts without a configuration.
          const name = `${host.id} ${String(host.pid)}`;
          const before = highest.get(name) ?? 0;
          const revision = await readRevision(host).catch(() => before);
          if (revision < before) falls.push(`${name}: ${String(before)} to ${String(revision)}`);
          highest.set(name, Math.max(before, revision));
        }),
      );
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  const running = read();
  return async () => {
    ended = true;
    await running;
    return falls;
  };
}

describe('control: configuration', () => {
  const cell = useCell();
  let marks = 0;
  let stopWatching: () => Promise<readonly string[]>;
  const nextText = () => describeCatalogue({ mark: `mark-${String((marks += 1))}` });
  const first = () => hostsOf(cell(), FIRST);
  const second = () => hostsOf(cell(), SECOND);

  async function applyAt(host = first()[0]): Promise<Applied> {
    const at = Date.now();
    const applied = await cell().operator.apply(nextText(), host);
    expect(applied.status, applied.detail).to.equal(200);
    return { revision: applied.revision, at };
  }

  beforeEach(() => {
    stopWatching = watchRevisions(cell);
  });

  afterEach(async () => {
    await heal(cell());
    expect(await stopWatching()).to.deep.equal([]);
  });

  it('lets one of two racing changes win, so that none is overwritten unseen', async () => {
    const { revision: base } = await applyAt();
    const at = Date.now();
    const hosts = [first()[0], second()[0]];
    const applied = await Promise.all(
      hosts.map((host) => cell().operator.applyAtRevision(base, nextText(), host)),
    );
    expect(applied.map(({ status }) => status).sort()).to.deep.equal([200, 409]);
    await awaitRevision(cell().hosts, { revision: base + 1, at }, 'racing changes');
  });

  it('finds out that a write took effect whose answer was lost', async () => {
    const { revision: base } = await applyAt();
    const at = Date.now();
    await setStoreFaults(cell(), { loseAnswers: true });
    const applied = await cell().operator.applyAtRevision(base, nextText(), first()[0]);
    await setStoreFaults(cell(), { loseAnswers: false });
    expect([applied.status, applied.revision], applied.detail).to.deep.equal([200, base + 1]);
    await awaitRevision(cell().hosts, { revision: base + 1, at }, 'lost answer');
  });

  it('reaches a data centre that is cut from the store', async () => {
    await setStoreFaults(cell(), { cut: { [SECOND]: 'hang' } });
    const applied = await applyAt();
    await awaitRevision(cell().hosts, applied, 'a data centre without the store');
  });

  it('reaches a data centre that is cut from the other one', async () => {
    await partition(cell(), ({ dataCentre }) => dataCentre === FIRST);
    const applied = await applyAt();
    await awaitRevision(cell().hosts, applied, 'a data centre without the other one');
  });

  it('reaches a half that joins again, and the half does not bring its old one back', async () => {
    await partition(cell(), ({ dataCentre }) => dataCentre === FIRST);
    await setStoreFaults(cell(), { cut: { [SECOND]: 'reset' } });
    const applied = await applyAt();
    await awaitRevision(first(), applied, 'the half that reaches the store');
    await partition(cell());
    await awaitRevision(second(), { ...applied, at: Date.now() }, 'the half that joined again');
  });

  it('reaches a host that was paused during the change', async () => {
    const [paused] = second();
    paused?.signal('SIGSTOP');
    const applied = await applyAt();
    const others = cell().hosts.filter((host) => host !== paused);
    await awaitRevision(others, applied, 'all but a paused host');
    paused?.signal('SIGCONT');
    await awaitRevision(cell().hosts, { ...applied, at: Date.now() }, 'a paused host that resumed');
  });

  it('is not replaced by an older one that arrives late', async () => {
    const [slow, other] = first();
    if (slow === undefined || other === undefined) throw new Error('The cell has no hosts.');
    const peers = cell().hosts.filter((host) => host !== slow);
    const faults = peers.map(({ id }) => ({ peer: id, direction: 'send', effect: LATE_MS }));
    await cell().operator.setFaults(slow, faults);
    const base = await readRevision(other);
    const older = applyAt(slow);
    await until('the older one is in the store', async () => {
      const found = await callControlRoute(cell().keyValue.url, 'GET', '/v1/keys/configuration');
      return JSON.stringify(found).includes(`mark-${String(marks)}`);
    });
    const at = Date.now();
    const applied = await cell().operator.applyAtRevision(base + 1, nextText(), other);
    expect(applied.status, applied.detail).to.equal(200);
    await awaitRevision(peers, { revision: base + 2, at }, 'a change after one that is late');
    await older;
    await until('the late message has arrived', () => {
      return Promise.resolve(Date.now() - at > 2 * LATE_MS);
    });
  });

  it('is learnt from peers by a host that starts while the store is away', async () => {
    const applied = await applyAt();
    await awaitRevision(cell().hosts, applied, 'all hosts');
    const replaced = second()[1];
    if (replaced === undefined) throw new Error('The cell has no host.');
    await replaced.stop('SIGKILL');
    await setStoreFaults(cell(), { outage: 'error' });
    await cell().startHost(replaced.id, replaced.dataCentre);
    await cell().publishFleet();
    await awaitRevision(
      second(),
      { ...applied, at: Date.now() },
      'a host started without the store',
    );
  });
});
