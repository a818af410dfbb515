/**
 * Guards against an advice service that stands idle or answers the wrong questions while more questions
 * come than it can answer.
 */
import { expect } from 'chai';
import { createPermitClient } from '../../src/controller/permit-client.js';
import type { PermitRequest } from '../../src/controller/permit-client.js';
import { createEventLog, createMeters } from '../../src/observability/index.js';
import type { AdviceAnswer, AdviceCaller } from '../../src/peers/index.js';

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

function createDesk(names: readonly string[]) {
  const { calls, callers } = createCallers(names);
  const desk = createPermitClient({
    callers: () => callers,
    events: createEventLog({ base: {}, level: 'silent' }),
    meters: createMeters(),
    onPermits: () => undefined,
  });
  return { desk, calls, asked: () => calls.map(({ step }) => step) };
}

function ask(step: string, terms = SHORT): PermitRequest {
  return { step, terms, workers: WORKERS, tasks: 1, renew: true };
}

const GRANTED: AdviceAnswer = { permits: [{ worker: 'w1', ticket: 't' }], validMs: 2000 };

function settled(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe('createPermitDesk', () => {
  describe('with more questions than the service can answer', () => {
    it('asks in the order of the steps, whatever came first', async () => {
      const { desk, calls, asked } = createDesk(['a']);
      desk.requestMissing(['s1', 's2', 's3', 's4', 'late'].map((step) => ask(step)));
      desk.requestMissing(['new', 'late'].map((step) => ask(step)));
      calls[0]?.answer(GRANTED);
      await settled();
      expect(asked()).to.deep.equal(['s1', 's2', 's3', 's4', 'new']);
    });

    it('has further short calls under way at a host before the first is answered', () => {
      const { desk, calls } = createDesk(['a', 'b']);
      desk.requestMissing(Array.from({ length: 20 }, (_, index) => ask(`s${String(index)}`)));
      expect(calls.filter(({ caller }) => caller === 'a')).to.have.length(4);
      expect(calls.filter(({ caller }) => caller === 'b')).to.have.length(4);
    });

    it('does not ask for steps that wait no longer', async () => {
      const { desk, calls, asked } = createDesk(['a']);
      desk.requestMissing([ask('long', LONG), ask('gone')]);
      desk.requestMissing([ask('other')]);
      calls[0]?.answer(GRANTED);
      await settled();
      expect(asked()).to.deep.equal(['long', 'other']);
    });
  });

  describe('with long questions', () => {
    it('leaves hosts free for short ones and puts none behind a long one', () => {
      const { desk, calls } = createDesk(['a', 'b', 'c']);
      desk.requestMissing([ask('l1', LONG), ask('l2', LONG), ask('s1'), ask('s2'), ask('s3')]);
      const byCaller = Object.fromEntries(calls.map(({ step, caller }) => [step, caller]));
      expect(byCaller).to.include({ l1: 'a' }).and.to.not.have.property('l2');
      expect([byCaller.s1, byCaller.s2, byCaller.s3]).to.not.include('a');
    });

    it('asks them behind short ones on a busy host, and puts none behind them', async () => {
      const { desk, calls, asked } = createDesk(['a']);
      desk.requestMissing(['s1', 's2', 's3'].map((step) => ask(step)));
      desk.requestMissing([ask('long', LONG), ask('s4')]);
      expect(asked()).to.deep.equal(['s1', 's2', 's3', 'long']);
      for (const { answer } of calls.slice(0, 3)) answer(GRANTED);
      await settled();
      expect(asked()).to.not.include('s4');
    });

    it('asks it of the only host there is', () => {
      const { desk, asked } = createDesk(['a']);
      desk.requestMissing([ask('l1', LONG)]);
      expect(asked()).to.deep.equal(['l1']);
    });
  });

  describe('with a pool of hundreds of workers', () => {
    const POOL = new Map(Array.from({ length: 245 }, (_, index) => [`w${String(index)}`, 1]));
    const askPool = (step: string, tasks = 1, terms = SHORT): PermitRequest => {
      return { step, terms, workers: POOL, tasks, renew: true };
    };

    it('names the workers with the most room instead of all, and more for a wide step', () => {
      // Naming all took 2.8 s of the service for each wide gang.
      const { desk, calls } = createDesk(['a', 'b']);
      desk.requestMissing([askPool('narrow'), askPool('wide', 25)]);
      expect(calls[0]?.workers).to.deep.equal([...POOL.keys()].slice(0, 48));
      expect(calls[1]?.workers).to.have.length(75);
    });

    it('names others at once for a short question', async () => {
      // Workers that were named had been filled by others, and lookups waited for a second.
      const { desk, calls, asked } = createDesk(['a']);
      desk.requestMissing([askPool('s1')]);
      calls[0]?.answer(GRANTED);
      await settled();
      desk.requestMissing([askPool('s1'), askPool('long', 1, LONG)]);
      expect(asked()).to.deep.equal(['s1', 's1', 'long']);
    });

    it('names others for a long question only after the first questions of all steps', async () => {
      const { desk, calls, asked } = createDesk(['a']);
      desk.requestMissing([askPool('s1', 1, LONG)]);
      calls[0]?.answer(GRANTED);
      await settled();
      desk.requestMissing([askPool('s1', 1, LONG), askPool('s2', 1, LONG)]);
      expect(asked()).to.deep.equal(['s1', 's2']);
      calls[1]?.answer(GRANTED);
      await settled();
      expect(calls.at(-1)).to.deep.include({
        step: 's1',
        workers: [...POOL.keys()].slice(48, 96),
      });
    });

    it('leaves a part of many hosts free for short questions', () => {
      const { desk, calls } = createDesk(Array.from({ length: 40 }, (_, index) => String(index)));
      desk.requestMissing(Array.from({ length: 60 }, (_, index) => ask(`l${String(index)}`, LONG)));
      expect(calls).to.have.length(34);
    });
  });

  it('takes a host as idle after calls whose times are fractions', async () => {
    const { desk, calls, asked } = createDesk(['a']);
    const terms = (decideMs: number) => ({ ...SHORT, decideMs });
    desk.requestMissing([ask('s1', terms(0.1)), ask('s2', terms(0.2)), ask('s3', terms(0.3))]);
    for (const index of [1, 0, 2]) calls[index]?.answer(GRANTED);
    await settled();
    desk.requestMissing([ask('wide', terms(50))]);
    expect(asked()).to.deep.equal(['s1', 's2', 's3', 'wide']);
  });

  it('asks again after a failed call', async () => {
    const { desk, calls, asked } = createDesk(['a', 'b']);
    desk.requestMissing([ask('s1')]);
    calls[0]?.answer();
    await settled();
    desk.requestMissing([ask('s1')]);
    expect(asked()).to.deep.equal(['s1', 's1']);
    expect(calls[1]?.caller).to.equal('b');
  });
});
