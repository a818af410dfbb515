import { expect } from 'chai';
import { combineOutcomes } from '../../src/entry/combine-outcomes.js';
import { createRetryBudget } from '../../src/entry/retry-budget.js';
import { refuse, unknownOutcome, type DoneOutcome } from '../../src/model/index.js';

const done: DoneOutcome = {
  kind: 'done',
  status: 200,
  contentType: 'text/plain',
  body: Buffer.from('ok'),
  worker: 'w1',
};
const refused = refuse('worker-refused', 'full');
const unknown = unknownOutcome('lost');

describe('outcome of a gang', () => {
  const cases = [
    ['all tasks done', [done, done], 'done'],
    ['all tasks refused', [refused, refused], 'refused'],
    // Part of the gang ran, so it must not be reported as refused.
    ['one task refused', [done, refused], 'unknown'],
    ['one task unknown', [done, unknown], 'unknown'],
    ['a refusal and an unknown', [refused, unknown], 'unknown'],
  ] as const;
  for (const [name, outcomes, kind] of cases) {
    it(`is ${kind} with ${name}`, () => {
      expect(combineOutcomes(outcomes).kind).to.equal(kind);
    });
  }
});

describe('retry budget', () => {
  it('limits retries while nothing succeeds, so that they cannot multiply an overload', () => {
    const budget = createRetryBudget(3);
    const taken = Array.from({ length: 10 }, () => budget.take()).filter(Boolean);
    expect(taken).to.have.length(3);
  });

  it('allows one retry per ten successes', () => {
    const budget = createRetryBudget(1);
    budget.take();
    for (let count = 0; count < 9; count += 1) budget.recordSuccess();
    expect(budget.take()).to.equal(false);
    budget.recordSuccess();
    expect(budget.take()).to.equal(true);
  });
});
