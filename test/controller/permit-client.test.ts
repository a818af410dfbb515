/**
 * Guards against an advice service that is idle or answers less urgent queries first while more queries arrive than it
 * can answer.
 */
import { expect } from 'chai';
import { createPermitClient } from '../../src/controller/permit-client.js';
import type { PermitRequest } from '../../src/controller/permit-client.js';
import { createEventLog, createMeters } from '../../src/observability/index.js';
import type { AdviceAnswer, AdviceCaller } from '../../src/advice/index.js';

const WORKERS = new Map([['w1', 1]]);
const SHORT = { decideMs: 10, perWorkerMs: 0, validMs: 2000 };
const LONG = { decideMs: 500, perWorkerMs: 0, validMs: 2000 };

interface Call {
  readonly caller: string;
  readonly step: string;
  readonly workers: readonly string[];
  readonly answer: (answer?: AdviceAnswer) => void;
}

/** Callers whose calls are answered by the test. */
function createCallers(names: readonly string[]) {
  const calls: Call[] = [];
  const callers: AdviceCaller[] = names.map((name) => ({
    name,
    advise: (step, workers) =>
      new Promise((resolve) => {
        calls.push({ caller: name, step, workers, answer: resolve });
      }),
  }));
  return { calls, callers };
}

function createClient(names: readonly string[]) {
  const { calls, callers } = createCallers(names);
  const client = createPermitClient({
    callers: () => callers,
    events: createEventLog({ base: {}, level: 'silent' }),
    meters: createMeters(),
    onPermits: () => undefined,
  });
  return { client, calls, asked: () => calls.map(({ step }) => step) };
}

function ask(step: string, timing = SHORT): PermitRequest {
  return {
    step,
    timing,
    workers: WORKERS,
    withRoom: WORKERS.size,
    tasks: 1,
    renew: true,
    additional: true,
  };
}

const GRANTED: AdviceAnswer = { permits: [{ worker: 'w1', ticket: 't' }], validMs: 2000 };

function settled(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe('createPermitClient', () => {
  describe('with more queries than the service can answer', () => {
    it('sends queries in the order of the latest requests', async () => {
      const { client, calls, asked } = createClient(['a']);
      client.requestMissing(['s1', 's2', 's3', 's4', 'late'].map((step) => ask(step)));
      client.requestMissing(['new', 'late'].map((step) => ask(step)));
      calls[0]?.answer(GRANTED);
      await settled();
      expect(asked()).to.deep.equal(['s1', 's2', 's3', 's4', 'new']);
    });

    it('keeps several short calls in flight at each host', () => {
      const { client, calls } = createClient(['a', 'b']);
      client.requestMissing(Array.from({ length: 20 }, (_, index) => ask(`s${String(index)}`)));
      expect(calls.filter(({ caller }) => caller === 'a')).to.have.length(4);
      expect(calls.filter(({ caller }) => caller === 'b')).to.have.length(4);
    });

    it('drops queries of steps that are no longer requested', async () => {
      const { client, calls, asked } = createClient(['a']);
      client.requestMissing([ask('long', LONG), ask('gone')]);
      client.requestMissing([ask('other')]);
      calls[0]?.answer(GRANTED);
      await settled();
      expect(asked()).to.deep.equal(['long', 'other']);
    });
  });

  describe('with long queries', () => {
    it('reserves hosts for short queries and sends none after a long one', () => {
      const { client, calls } = createClient(['a', 'b', 'c']);
      client.requestMissing([ask('l1', LONG), ask('l2', LONG), ask('s1'), ask('s2'), ask('s3')]);
      const byCaller = Object.fromEntries(calls.map(({ step, caller }) => [step, caller]));
      expect(byCaller).to.include({ l1: 'a' }).and.to.not.have.property('l2');
      expect([byCaller.s1, byCaller.s2, byCaller.s3]).to.not.include('a');
    });

    it('sends a long query after short ones to a busy host, and none after it', async () => {
      const { client, calls, asked } = createClient(['a']);
      client.requestMissing(['s1', 's2', 's3'].map((step) => ask(step)));
      client.requestMissing([ask('long', LONG), ask('s4')]);
      expect(asked()).to.deep.equal(['s1', 's2', 's3', 'long']);
      for (const { answer } of calls.slice(0, 3)) answer(GRANTED);
      await settled();
      expect(asked()).to.not.include('s4');
    });

    it('sends a long query to the only host', () => {
      const { client, asked } = createClient(['a']);
      client.requestMissing([ask('l1', LONG)]);
      expect(asked()).to.deep.equal(['l1']);
    });
  });

  describe('with a pool of hundreds of workers', () => {
    const POOL = new Map(Array.from({ length: 245 }, (_, index) => [`w${String(index)}`, 1]));
    const askPool = (step: string, tasks = 1, timing = SHORT): PermitRequest => {
      return {
        step,
        timing,
        workers: POOL,
        withRoom: POOL.size,
        tasks,
        renew: true,
        additional: true,
      };
    };

    it('names only the workers with the most room, and more of them for a wide step', () => {
      // Naming all workers took the service 2.8 s for each wide gang.
      const { client, calls } = createClient(['a', 'b']);
      client.requestMissing([askPool('narrow'), askPool('wide', 25)]);
      expect(calls[0]?.workers).to.deep.equal([...POOL.keys()].slice(0, 48));
      expect(calls[1]?.workers).to.have.length(75);
    });

    it('names other workers at once in a short query', async () => {
      // Other work had filled the workers named before, and lookups waited for a second.
      const { client, calls, asked } = createClient(['a']);
      client.requestMissing([askPool('s1')]);
      calls[0]?.answer(GRANTED);
      await settled();
      client.requestMissing([askPool('s1'), askPool('long', 1, LONG)]);
      expect(asked()).to.deep.equal(['s1', 's1', 'long']);
    });

    it('names other workers in a long query only after the first queries of all steps', async () => {
      const { client, calls, asked } = createClient(['a']);
      client.requestMissing([askPool('s1', 1, LONG)]);
      calls[0]?.answer(GRANTED);
      await settled();
      client.requestMissing([askPool('s1', 1, LONG), askPool('s2', 1, LONG)]);
      expect(asked()).to.deep.equal(['s1', 's2']);
      calls[1]?.answer(GRANTED);
      await settled();
      expect(calls.at(-1)).to.deep.include({
        step: 's1',
        workers: [...POOL.keys()].slice(48, 96),
      });
    });

    it('names no other workers while none has room for a task', async () => {
      // In an overload the service decided about full workers while new work waited for its first answer.
      const { client, calls, asked } = createClient(['a']);
      client.requestMissing([{ ...askPool('s1'), withRoom: 0 }]);
      calls[0]?.answer(GRANTED);
      await settled();
      client.requestMissing([{ ...askPool('s1'), withRoom: 48 }]);
      expect(asked()).to.deep.equal(['s1']);
      client.requestMissing([{ ...askPool('s1'), withRoom: 50 }]);
      expect(calls[1]?.workers).to.deep.equal(['w48', 'w49']);
    });

    it('names other workers only for the first steps of a queue', async () => {
      const { client, calls, asked } = createClient(['a']);
      client.requestMissing([askPool('s1')]);
      calls[0]?.answer(GRANTED);
      await settled();
      client.requestMissing([{ ...askPool('s1'), additional: false }]);
      expect(asked()).to.deep.equal(['s1']);
    });

    it('prepares only the queries that the hosts can take soon, urgent ones also behind long ones', () => {
      const { client } = createClient(['a', 'b']);
      const prepared = { long: 0, short: 0 };
      const counted = (step: string, kind: 'long' | 'short') => ({
        ...askPool(step, 1, kind === 'long' ? LONG : SHORT),
        get workers() {
          prepared[kind] += 1;
          return POOL;
        },
      });
      const steps = (kind: 'long' | 'short') =>
        Array.from({ length: 400 }, (_, index) => counted(`${kind}${String(index)}`, kind));
      client.requestMissing([...steps('long'), ...steps('short')]);
      expect(prepared.long).to.be.within(1, 4);
      expect(prepared.short).to.be.within(20, 40);
    });

    it('reserves a fraction of many hosts for short queries', () => {
      const { client, calls } = createClient(
        Array.from({ length: 40 }, (_, index) => String(index)),
      );
      client.requestMissing(
        Array.from({ length: 60 }, (_, index) => ask(`l${String(index)}`, LONG)),
      );
      expect(calls).to.have.length(34);
    });
  });

  it('counts a host as idle after calls whose expected times are fractions', async () => {
    const { client, calls, asked } = createClient(['a']);
    const timing = (decideMs: number) => ({ ...SHORT, decideMs });
    client.requestMissing([ask('s1', timing(0.1)), ask('s2', timing(0.2)), ask('s3', timing(0.3))]);
    for (const index of [1, 0, 2]) calls[index]?.answer(GRANTED);
    await settled();
    client.requestMissing([ask('wide', timing(50))]);
    expect(asked()).to.deep.equal(['s1', 's2', 's3', 'wide']);
  });

  it('sends the query again after a failed call', async () => {
    const { client, calls, asked } = createClient(['a', 'b']);
    client.requestMissing([ask('s1')]);
    calls[0]?.answer();
    await settled();
    client.requestMissing([ask('s1')]);
    expect(asked()).to.deep.equal(['s1', 's1']);
    expect(calls[1]?.caller).to.equal('b');
  });
});

describe('a step that no round has seen yet', () => {
  // Guards against jobs that wait for one round to request their permits, and for another to use them.
  it('is queried at once while no other query waits', () => {
    const { client, asked } = createClient(['a']);
    client.requestFirst([ask('new')]);
    expect(asked()).to.deep.equal(['new']);
  });

  it('is left to the next round while other queries wait, which go in its order', () => {
    const { client, asked } = createClient(['a']);
    client.requestMissing(['1', '2', '3', '4', '5', '6'].map((step) => ask(step)));
    const before = asked();
    client.requestFirst([ask('new')]);
    expect(asked()).to.deep.equal(before);
  });

  it('is not queried twice', () => {
    const { client, asked } = createClient(['a']);
    client.requestFirst([ask('new')]);
    client.requestFirst([ask('new')]);
    expect(asked()).to.deep.equal(['new']);
  });
});
