/**
 * Guarantee 10: an accepted configuration takes effect everywhere within 7 s and never reverts.
 */
import { expect } from 'chai';
import { request } from 'undici';
import { callControlRoute } from '../../stand-ins/control.js';
import {
  createCatalogueYaml,
  DATA_CENTRES,
  eventually,
  heal,
  hostsOf,
  OPERATOR_KEY,
  partition,
  reportFigure,
  setStoreFaults,
  useCell,
  type Cell,
  type Endpoint,
} from './support.js';

const MAX_ROLLOUT_MS = 7000;
const READ_TIMEOUT_MS = 500;
/** Delay of messages between hosts; shorter than the suspicion timeout. */
const LINK_DELAY_MS = 400;
const [FIRST = '', SECOND = ''] = DATA_CENTRES;

interface AppliedRevision {
  readonly revision: number;
  /** Time from which the rollout bound is measured. */
  readonly at: number;
}

async function readRevision({ url }: Endpoint): Promise<number> {
  const answer = await request(`${url}/v1/operator/configuration`, {
    headers: { authorization: `Bearer ${OPERATOR_KEY}` },
    reset: true,
    signal: AbortSignal.timeout(READ_TIMEOUT_MS),
  });
  return ((await answer.body.json()) as { revision: number }).revision;
}

/** Waits until the hosts run the revision and reports how long that took. */
async function awaitRevision(
  hosts: Cell['hosts'],
  { revision, at }: AppliedRevision,
  situation: string,
): Promise<void> {
  await Promise.all(
    hosts.map((host) =>
      eventually(
        `${host.id} runs revision ${String(revision)}`,
        async () => {
          const own = await readRevision(host);
          return own >= revision || own;
        },
        MAX_ROLLOUT_MS,
      ),
    ),
  );
  reportFigure(`${situation}: in force after ${String(Date.now() - at)} ms`);
}

/** Polls the revisions of all hosts and records every decrease; the returned function stops and lists them. */
function watchRevisions(cell: () => Cell) {
  const highest = new Map<string, number>();
  const decreases: string[] = [];
  let stopped = false;

  async function read(): Promise<void> {
    while (!stopped) {
      await Promise.all(
        cell().hosts.map(async (host) => {
          // A restarted host begins without a configuration, so its process id is part of the name.
          const name = `${host.id} ${String(host.pid)}`;
          const before = highest.get(name) ?? 0;
          const revision = await readRevision(host).catch(() => before);
          if (revision < before)
            decreases.push(`${name}: ${String(before)} to ${String(revision)}`);
          highest.set(name, Math.max(before, revision));
        }),
      );
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  const running = read();
  return async () => {
    stopped = true;
    await running;
    return decreases;
  };
}

describe('control: configuration', () => {
  const cell = useCell();
  let catalogueCount = 0;
  let stopWatching: () => Promise<readonly string[]>;
  const nextCatalogue = () =>
    createCatalogueYaml({ extraEntry: `mark-${String((catalogueCount += 1))}` });
  const first = () => hostsOf(cell(), FIRST);
  const second = () => hostsOf(cell(), SECOND);

  async function applyAt(host = first()[0]): Promise<AppliedRevision> {
    const at = Date.now();
    const applied = await cell().operator.apply(nextCatalogue(), host);
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

  it('accepts one of two concurrent changes, so that neither is overwritten unnoticed', async () => {
    const { revision: base } = await applyAt();
    const at = Date.now();
    const hosts = [first()[0], second()[0]];
    const applied = await Promise.all(
      hosts.map((host) => cell().operator.applyAtRevision(base, nextCatalogue(), host)),
    );
    expect(applied.map(({ status }) => status).sort()).to.deep.equal([200, 409]);
    await awaitRevision(cell().hosts, { revision: base + 1, at }, 'concurrent changes');
  });

  it('detects that a write took effect although its response was lost', async () => {
    const { revision: base } = await applyAt();
    const at = Date.now();
    await setStoreFaults(cell(), { loseAnswers: true });
    const applied = await cell().operator.applyAtRevision(base, nextCatalogue(), first()[0]);
    await setStoreFaults(cell(), { loseAnswers: false });
    expect([applied.status, applied.revision], applied.detail).to.deep.equal([200, base + 1]);
    await awaitRevision(cell().hosts, { revision: base + 1, at }, 'lost response');
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

  it('reaches a data centre that rejoins, which does not bring its old configuration back', async () => {
    await partition(cell(), ({ dataCentre }) => dataCentre === FIRST);
    await setStoreFaults(cell(), { cut: { [SECOND]: 'reset' } });
    const applied = await applyAt();
    await awaitRevision(first(), applied, 'the data centre that reaches the store');
    await partition(cell());
    await awaitRevision(second(), { ...applied, at: Date.now() }, 'the data centre that rejoined');
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

  it('is not replaced by an older configuration that arrives late', async () => {
    const [slow, other] = first();
    if (slow === undefined || other === undefined) throw new Error('The cell has no hosts.');
    const peers = cell().hosts.filter((host) => host !== slow);
    const faults = peers.map(({ id }) => ({ peer: id, direction: 'send', effect: LINK_DELAY_MS }));
    await cell().operator.setFaults(slow, faults);
    const base = await readRevision(other);
    const olderApply = applyAt(slow);
    await eventually('the older configuration is in the store', async () => {
      const found = await callControlRoute(cell().keyValue.url, 'GET', '/v1/keys/configuration');
      return JSON.stringify(found).includes(`mark-${String(catalogueCount)}`);
    });
    const at = Date.now();
    const applied = await cell().operator.applyAtRevision(base + 1, nextCatalogue(), other);
    expect(applied.status, applied.detail).to.equal(200);
    await awaitRevision(peers, { revision: base + 2, at }, 'a change after a delayed one');
    await olderApply;
    await eventually('the late message has arrived', () => {
      return Promise.resolve(Date.now() - at > 2 * LINK_DELAY_MS);
    });
  });

  it('is fetched from peers by a host that starts during a store outage', async () => {
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
      'a host that started without the store',
    );
  });
});
