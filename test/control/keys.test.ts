/**
 * Guarantee 3: work is accepted only for the team whose key was presented, and a withdrawn key stops working within
 * seconds, also under partitions and store outages.
 */
import { expect } from 'chai';
import {
  createCatalogueYaml,
  DATA_CENTRES,
  eventually,
  heal,
  hostsOf,
  OPERATOR_KEY,
  OTHER_KEY,
  partition,
  reportFigure,
  setStoreFaults,
  submit,
  TEAM_KEY,
  useCell,
  type Cell,
} from './support.js';

/** Keys count as current for 1.5 s after the last contact; the rest allows for the polling of the test. */
const MAX_WITHDRAWAL_MS = 3000;
const [FIRST = '', SECOND = ''] = DATA_CENTRES;

const REJECTED_KEYS = [
  { title: 'no key', key: undefined, status: 401, reason: 'not-authorized' },
  { title: 'an unknown key', key: 'a-key-of-nobody', status: 401, reason: 'not-authorized' },
  { title: 'the key of another team', key: OTHER_KEY, status: 403, reason: 'wrong-team' },
  { title: 'an operator key', key: OPERATOR_KEY, status: 401, reason: 'not-authorized' },
];

interface FaultCase {
  readonly title: string;
  /** Runs before the key is withdrawn. */
  readonly before?: (cell: Cell) => Promise<void>;
  /** Runs as soon as the apply has been answered. */
  readonly after?: (cell: Cell) => Promise<void>;
}

const cutStore = (cell: Cell) => setStoreFaults(cell, { cut: { [SECOND]: 'reset' } });
const cutLinks = (cell: Cell) => partition(cell, ({ dataCentre }) => dataCentre === FIRST);

const FAULT_CASES: readonly FaultCase[] = [
  { title: 'with no fault' },
  { title: 'with a data centre cut from the store', before: cutStore },
  { title: 'with a data centre whose calls to the store hang', before: hangStore },
  { title: 'with a data centre cut from the other one', before: cutLinks },
  {
    title: 'with a data centre cut from both',
    before: async (cell) => {
      await cutStore(cell);
      await cutLinks(cell);
    },
  },
  {
    title: 'with the store down right after the apply',
    after: (cell) => setStoreFaults(cell, { outage: 'error' }),
  },
  {
    title: 'with the links cut before and the store down right after the apply',
    before: cutLinks,
    after: (cell) => setStoreFaults(cell, { outage: 'hang' }),
  },
];

function hangStore(cell: Cell): Promise<void> {
  return setStoreFaults(cell, { cut: { [SECOND]: 'hang' } });
}

async function applyAt(cell: Cell, withoutTeamKey: boolean): Promise<void> {
  const [host] = hostsOf(cell, FIRST);
  const applied = await cell.operator.apply(createCatalogueYaml({ withoutTeamKey }), host);
  expect(applied.status, applied.detail).to.equal(200);
}

function submitAll({ hosts }: Cell, entry: string, key?: string) {
  return Promise.all(hosts.map((host) => submit(host, { entry, key })));
}

describe('control: keys', () => {
  const cell = useCell();

  afterEach(async () => {
    await heal(cell());
    await applyAt(cell(), false);
    await eventually('the key works again', async () => {
      const answers = await submitAll(cell(), 'lookup', TEAM_KEY);
      return answers.every(({ status }) => status === 200);
    });
  });

  for (const { title, key, status, reason } of REJECTED_KEYS) {
    it(`refuses work with ${title} at every host, so that no team is charged for others`, async () => {
      for (const entry of ['lookup', 'batch']) {
        const answers = await submitAll(cell(), entry, key);
        const found = answers.map((answer) => [answer.status, answer.reason]);
        expect(found).to.deep.equal(cell().hosts.map(() => [status, reason]));
      }
    });
  }

  for (const { title, before: injectBefore, after: injectAfter } of FAULT_CASES) {
    it(`refuses a withdrawn key everywhere within seconds, ${title}`, async () => {
      await injectBefore?.(cell());
      await applyAt(cell(), true);
      const appliedAt = Date.now();
      await injectAfter?.(cell());
      // A request that starts after the bound must be refused at every host.
      let lastDoneAt = appliedAt;
      while (Date.now() - appliedAt < MAX_WITHDRAWAL_MS) {
        const sentAt = Date.now();
        const answers = await submitAll(cell(), 'lookup', TEAM_KEY);
        if (answers.some(({ status }) => status === 200)) lastDoneAt = sentAt;
        const open = await submitAll(cell(), 'open-lookup');
        expect(open.map(({ status }) => status)).to.deep.equal(cell().hosts.map(() => 200));
        if (answers.every(({ reason }) => reason === 'not-authorized')) break;
      }
      const late = await submitAll(cell(), 'lookup', TEAM_KEY);
      reportFigure(
        `${title}: the key last worked ${String(lastDoneAt - appliedAt)} ms after the apply`,
      );
      expect(late.filter(({ status }) => status === 200)).to.deep.equal([]);
    });
  }

  it('keeps keys valid during a store outage that affects all hosts', async () => {
    await setStoreFaults(cell(), { outage: 'error' });
    const startedAt = Date.now();
    // Twice the staleness limit: by then every host would refuse if it did not learn from its peers that keys are current.
    await eventually('keyed work continues', async () => {
      const answers = await submitAll(cell(), 'lookup', TEAM_KEY);
      expect(answers.map(({ status }) => status)).to.deep.equal(cell().hosts.map(() => 200));
      return Date.now() - startedAt > MAX_WITHDRAWAL_MS;
    });
  });
});
