/**
 * Guards against false refusals and lost answers when a host forwards calls to the leader. The table lists the
 * answers of this host and of the leader, and the answer that the caller must get.
 */
import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import { createRelayingService } from '../../src/intake/index.js';
import type { CallerService, RelayFailure, SubmitAnswer } from '../../src/intake/index.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';

const CALLER = { host: 'lawns.example', path: '/lookups/a1', key: 'key' };
const WORK = { id: 'a1', spec: '', steps: [] };
const REFUSED: SubmitAnswer = { kind: 'refused', reason: 'the store does not take writes' };
const UNKNOWN: SubmitAnswer = { kind: 'unknown' };
const ACCEPTED: SubmitAnswer = { kind: 'accepted' };
const DENIED: SubmitAnswer = { kind: 'denied', denial: 'unknown-key' };
const WAIT_MS = 1000;

function createService(local: SubmitAnswer, leader: SubmitAnswer | RelayFailure) {
  let relayed = 0;
  const service = createRelayingService({
    local: { submit: () => Promise.resolve(local) } as unknown as CallerService,
    isStoreLost: () => true,
    send: () => {
      relayed += 1;
      return Promise.resolve(
        typeof leader === 'string' ? err(leader) : ok({ operation: 'submit', answer: leader }),
      );
    },
    events: SILENT_EVENTS,
  });
  return { service, relayed: () => relayed };
}

describe('a submission at a host that cannot reach the store', () => {
  const cases: readonly [SubmitAnswer, SubmitAnswer | RelayFailure, SubmitAnswer][] = [
    [REFUSED, ACCEPTED, ACCEPTED],
    [REFUSED, DENIED, DENIED],
    [REFUSED, REFUSED, REFUSED],
    [REFUSED, UNKNOWN, UNKNOWN],
    [REFUSED, 'not-sent', REFUSED],
    // The leader may have accepted it.
    [REFUSED, 'no-answer', UNKNOWN],
    [UNKNOWN, ACCEPTED, ACCEPTED],
    // The write of this host may still take effect.
    [UNKNOWN, REFUSED, UNKNOWN],
    [UNKNOWN, DENIED, UNKNOWN],
    [UNKNOWN, 'not-sent', UNKNOWN],
  ];
  for (const [local, leader, told] of cases) {
    const found = typeof leader === 'string' ? leader : leader.kind;
    it(`is answered ${told.kind} when it is ${local.kind} here and ${found} at the leader`, async () => {
      const { service } = createService(local, leader);
      expect(await service.submit(CALLER, WORK, performance.now() + WAIT_MS)).to.deep.equal(told);
    });
  }

  it('is not forwarded when this host has an answer', async () => {
    for (const answer of [ACCEPTED, DENIED]) {
      const { service, relayed } = createService(answer, REFUSED);
      await service.submit(CALLER, WORK, performance.now() + WAIT_MS);
      expect(relayed()).to.equal(0);
    }
  });

  it('is not forwarded after the deadline of its caller', async () => {
    const { service, relayed } = createService(UNKNOWN, ACCEPTED);
    expect(await service.submit(CALLER, WORK, performance.now())).to.deep.equal(UNKNOWN);
    expect(relayed()).to.equal(0);
  });
});
