/**
 * Drawn gaps of a follower under drawn leaders: watches that end without the changes that were made or get no response,
 * listings that fail or are late, and leaders that begin at any moment.
 *
 * Guards against orders that may reach a worker later after a change than the platform allows, because what the order
 * rests on was confirmed by a call that had not seen the change (DRAIN, UNASKED).
 */
import fc from 'fast-check';
import { err, ok } from 'neverthrow';
import {
  createOrderWindow,
  followTiming,
  listingIntervalMs,
} from '../../src/controller/order-window.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import type { KeyValueStore } from '../../src/records/index.js';
import { followPrefix, pause } from '../../src/records/index.js';
import { expectAllToHold } from '../drawn-scenarios.js';

const MAX_AGE_MS = 600;
const KEY = 'servers/w1';
const NO_RESPONSE = { kind: 'unknown', detail: 'no response' } as const;

type Answers = 'all' | 'late' | 'without-changes' | 'none' | 'failure';

interface Segment {
  readonly forMs: number;
  readonly watches: Answers;
  readonly listings: Exclude<Answers, 'without-changes'>;
  /** Whether the entry changes when the segment begins. */
  readonly changes: boolean;
  /** Whether another leader begins to follow when the segment begins. */
  readonly takeover: boolean;
}

const segment: fc.Arbitrary<Segment> = fc.record({
  forMs: fc.integer({ min: 20, max: 400 }),
  watches: fc.constantFrom<Answers>('all', 'late', 'without-changes', 'none', 'failure'),
  listings: fc.constantFrom('all', 'all', 'late', 'none', 'failure'),
  changes: fc.boolean(),
  takeover: fc.boolean(),
});

/** Returns by how many milliseconds orders were allowed too late after a change. */
async function play(segments: readonly Segment[]): Promise<number> {
  let revision = 1;
  const changedAt = new Map([[1, -Infinity]]);
  let present = segments[0];

  async function answerWith<T>(how: Answers, timeoutMs: number, read: () => T) {
    if (how === 'failure') {
      await pause(1);
      return err({ kind: 'rejected', detail: 'rejected' } as const);
    }
    if (how === 'none') {
      await pause(timeoutMs);
      return err(NO_RESPONSE);
    }
    const answer = ok(read());
    await pause(how === 'late' ? timeoutMs / 2 : 1);
    return answer;
  }

  const store = {
    list: (_prefix: string, { timeoutMs = 0 } = {}) =>
      answerWith(present?.listings ?? 'all', timeoutMs, () => ({
        entries: [{ key: KEY, value: '', revision }],
        revision,
      })),
    watch: async (_prefix: string, after: number, waitMs: number, { timeoutMs = 0 } = {}) => {
      const how = present?.watches ?? 'all';
      if (how === 'without-changes' || after >= revision) await pause(waitMs);
      return answerWith(how, timeoutMs, () => ({
        changes:
          how === 'without-changes' || after >= revision ? [] : [{ key: KEY, value: '', revision }],
        revision,
      }));
    },
  } as unknown as KeyValueStore;

  function follow() {
    const seen = { revision: 0 };
    const follower = followPrefix({
      store,
      prefix: 'servers/',
      ...followTiming(MAX_AGE_MS),
      refreshMs: listingIntervalMs(MAX_AGE_MS),
      events: SILENT_EVENTS,
      onListing: ([entry]) => {
        seen.revision = entry?.revision ?? 0;
      },
      onChange: (change) => {
        seen.revision = Math.max(seen.revision, change.revision);
      },
    });
    const orders = createOrderWindow({
      views: [{ confirmedAt: () => follower.confirmedAt, maxAgeMs: MAX_AGE_MS }],
    });
    return { follower, orders, seen };
  }

  let leader = follow();
  let lateMs = 0;
  for (const drawn of segments) {
    present = drawn;
    if (drawn.changes) changedAt.set((revision += 1), performance.now());
    if (drawn.takeover) {
      leader.follower.stop();
      leader = follow();
    }
    const endsAt = performance.now() + drawn.forMs;
    while (performance.now() < endsAt) {
      const remainingMs = leader.orders.remainingMs();
      const missed = changedAt.get(leader.seen.revision + 1);
      if (remainingMs > 0 && missed !== undefined) {
        lateMs = Math.max(lateMs, performance.now() + remainingMs - missed - MAX_AGE_MS);
      }
      await pause(5);
    }
  }
  leader.follower.stop();
  return lateMs;
}

describe('orders on a view with drawn gaps', () => {
  it('reach no worker later after a change than allowed', async () => {
    const scenario = fc.array(segment, { minLength: 1, maxLength: 10 });
    const describeDelay = async (segments: readonly Segment[]) => {
      const lateMs = await play(segments);
      return lateMs > 0 ? [`orders were allowed ${String(lateMs)} ms too late`] : [];
    };
    await expectAllToHold({ scenario, play: describeDelay, batch: 60, scenarios: 240 });
  }).timeout(120_000);
});
