import { expect } from 'chai';
import fc from 'fast-check';
import {
  createHybridClock,
  createTimeline,
  mergeTimelines,
  type TimelineEvent,
} from '../../src/timeline/index.js';

describe('hybrid clock', () => {
  it('keeps increasing when the wall clock steps back', () => {
    const wallClocks = [50, 10, 10];
    const clock = createHybridClock(() => wallClocks.shift() ?? 10);
    expect([clock.tick(), clock.tick(), clock.tick()]).to.deep.equal([
      { ms: 50, counter: 0 },
      { ms: 50, counter: 1 },
      { ms: 50, counter: 2 },
    ]);
  });
});

describe('timeline', () => {
  it('overwrites the oldest events, so that memory stays bounded', () => {
    const timeline = createTimeline({ host: 'a', bootId: 'b', now: () => 1, capacity: 3 });
    for (let index = 0; index < 8; index += 1) timeline.record({ kind: String(index) });
    expect(timeline.query().map((event) => event.kind)).to.deep.equal(['5', '6', '7']);
  });

  it('selects events by each property of the filter', () => {
    let wall = 0;
    const timeline = createTimeline({ host: 'a', bootId: 'b', now: () => wall });
    for (const kind of ['start', 'end']) {
      for (const team of ['lawns', 'seams']) {
        wall += 10;
        timeline.record({ kind, team, request: `r${String(wall)}`, worker: `w-${team}` });
      }
    }
    const times = (filter: object) => timeline.query(filter).map((event) => event.at.ms);
    expect(times({ kind: 'start' })).to.deep.equal([10, 20]);
    expect(times({ team: 'lawns' })).to.deep.equal([10, 30]);
    expect(times({ worker: 'w-seams', since: 30 })).to.deep.equal([40]);
    expect(times({ request: 'r30' })).to.deep.equal([30]);
    expect(times({ request: 'r30', team: 'seams' })).to.deep.equal([]);
  });
});

describe('mergeTimelines', () => {
  const messagePlans = fc.array(
    fc.record({ from: fc.nat(3), to: fc.nat(3), drift: fc.integer({ min: -5, max: 5 }) }),
    { maxLength: 60 },
  );

  /** Sends messages between four processes with skewed clocks; returns their causal order too. */
  function simulate(plan: readonly { from: number; to: number; drift: number }[]) {
    const wallClocks = [1000, 0, 500, 100_000];
    const processes = wallClocks.map((_, index) =>
      createTimeline({ host: `h${String(index)}`, bootId: 'b', now: () => wallClocks[index] ?? 0 }),
    );
    const causalPairs: (readonly [string, string])[] = [];
    plan.forEach(({ from, to, drift }, step) => {
      wallClocks[from] = (wallClocks[from] ?? 0) + drift;
      processes[from]?.record({ kind: `send ${String(step)}` });
      const sentAt = processes[from]?.clock.tick() ?? { ms: 0, counter: 0 };
      processes[to]?.clock.receive(sentAt);
      processes[to]?.record({ kind: `receive ${String(step)}` });
      causalPairs.push([`send ${String(step)}`, `receive ${String(step)}`]);
    });
    return { parts: processes.map((process) => process.query()), causalPairs };
  }

  it('never places an effect before its cause, whatever the wall clocks show', () => {
    fc.assert(
      fc.property(messagePlans, (plan) => {
        const { parts, causalPairs } = simulate(plan);
        const merged = mergeTimelines(parts);
        const positions = new Map(merged.map((event, index) => [event.kind, index]));
        for (const [cause, effect] of causalPairs) {
          expect(positions.get(cause)).to.be.lessThan(positions.get(effect) ?? -1);
        }
        for (const part of parts) {
          const own = merged.filter((event) => event.host === part[0]?.host);
          expect(own).to.deep.equal(part);
        }
      }),
      { seed: 2 },
    );
  });

  it('returns the same order for any order of the timelines and removes duplicates', () => {
    fc.assert(
      fc.property(messagePlans, (plan) => {
        const { parts } = simulate(plan);
        const expected: readonly TimelineEvent[] = mergeTimelines(parts);
        expect(mergeTimelines([...parts].reverse())).to.deep.equal(expected);
        expect(mergeTimelines([...parts, ...parts])).to.deep.equal(expected);
      }),
      { seed: 3 },
    );
  });
});
