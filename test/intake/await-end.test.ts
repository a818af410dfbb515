/**
 * Guards against callers that hear of the end of an urgent job only with their second query: they ask within
 * milliseconds of its last task's end, before the record of the end is durable, and then seldom.
 */
import { expect } from 'chai';
import { readStateNearEnd } from '../../src/intake/index.js';
import type { StateAnswer } from '../../src/intake/index.js';

async function query(answers: readonly StateAnswer[], targetLatencyMs: number) {
  const left = [...answers];
  const sleeps: number[] = [];
  const shown = await readStateNearEnd({
    read: () => Promise.resolve(left.shift() ?? 'running'),
    targetLatencyMs,
    sleep: (ms) => {
      sleeps.push(ms);
      return Promise.resolve();
    },
  });
  return { shown, sleeps, reads: answers.length - left.length };
}

describe('a query for the state of a job', () => {
  describe('whose end becomes durable within the wait', () => {
    it('shows the end', async () => {
      expect((await query(['running', 'completed'], 250)).shown).to.equal('completed');
      expect((await query(['running', 'running', 'failed'], 250)).shown).to.equal('failed');
    });
  });

  describe('of a job that goes on', () => {
    it('waits no longer than a quarter of the target latency of its queue, and 90 ms at most', async () => {
      expect((await query([], 250)).sleeps).to.deep.equal([30, 32.5]);
      expect((await query([], 1000)).sleeps).to.deep.equal([30, 60]);
      expect((await query([], 60_000)).sleeps).to.deep.equal([30, 60]);
    });

    it('is answered at once if the queue has no target latency or a very short one', async () => {
      expect((await query([], 0)).sleeps).to.deep.equal([]);
      expect((await query([], 80)).sleeps).to.deep.equal([]);
    });
  });

  describe('of a job that does not run', () => {
    it('is answered at once', async () => {
      for (const state of ['queued', 'completed', 'no-such-job', 'unavailable'] as const) {
        expect(await query([state], 250)).to.deep.equal({ shown: state, sleeps: [], reads: 1 });
      }
    });
  });

  describe('while the store fails', () => {
    it('shows what was read before the failure', async () => {
      expect((await query(['running', 'unavailable'], 250)).shown).to.equal('running');
    });
  });
});
