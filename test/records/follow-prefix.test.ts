/**
 * Guards against one call to the store per change: 245 workers that each write their entry every 1.5 s
 * caused 160 calls a second.
 */
import { expect } from 'chai';
import { ok } from 'neverthrow';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import { followPrefix, pause } from '../../src/records/index.js';
import type { KeyValueStore } from '../../src/records/index.js';

const BATCH_DELAY_MS = 40;
const CHANGES = 5;

describe('followPrefix', () => {
  it('batches changes that follow each other closely into one call', async () => {
    let revision = 1;
    const store = {
      list: () => Promise.resolve(ok({ entries: [], revision })),
      // Each watch returns a new change at once.
      watch: () => {
        revision += 1;
        return Promise.resolve(ok({ changes: [{ key: 'a', value: '', revision }], revision }));
      },
    } as unknown as KeyValueStore;
    const startedAt = performance.now();
    const elapsedMs = await new Promise<number>((resolve) => {
      let seen = 0;
      const follower = followPrefix({
        store,
        prefix: '',
        events: SILENT_EVENTS,
        batchDelayMs: BATCH_DELAY_MS,
        onListing: () => undefined,
        onChange: () => {
          seen += 1;
          if (seen < CHANGES) return;
          follower.stop();
          resolve(performance.now() - startedAt);
        },
      });
    });
    // Timers may fire a millisecond early.
    expect(elapsedMs).to.be.at.least((CHANGES - 1) * (BATCH_DELAY_MS - 1));
  });

  // Guards against a change that no watch delivers, because an earlier response without changes had a later revision.
  it('delivers a change that a watch without changes has passed over', async () => {
    const change = { key: 'a', value: 'new', revision: 2 };
    let watches = 0;
    const store = {
      list: () => Promise.resolve(ok({ entries: [], revision: 1 })),
      watch: async (_prefix: string, after: number) => {
        watches += 1;
        // A real store waits; without a pause the follower would never yield to the test.
        await new Promise((resolve) => setTimeout(resolve, 1));
        const missed = watches === 1 || after >= change.revision;
        return ok({ changes: missed ? [] : [change], revision: 3 });
      },
    } as unknown as KeyValueStore;
    const delivered = await new Promise<string | undefined>((resolve) => {
      const follower = followPrefix({
        store,
        prefix: '',
        events: SILENT_EVENTS,
        onListing: () => undefined,
        onChange: ({ value }) => {
          follower.stop();
          resolve(value);
        },
      });
      setTimeout(() => {
        follower.stop();
        resolve(undefined);
      }, 1000);
    });
    expect(delivered).to.equal('new');
  });

  // A leader whose follower had ended kept its copy of the workers for the rest of its term (DRAIN, LOST).
  describe('after an error in a handler', () => {
    const CHANGE_KEYS = ['servers/a', 'servers/odd', 'servers/b'];

    /** Follows a store that delivers one batch of changes after each listing, until the promise resolves. */
    async function follow(
      fail: (call: string) => void,
      isEnough: (calls: readonly string[]) => boolean,
    ) {
      const calls: string[] = [];
      let revision = 1;
      let delivered = false;
      const store = {
        list: () => {
          delivered = false;
          return Promise.resolve(ok({ entries: [], revision }));
        },
        watch: async () => {
          await pause(1);
          if (delivered) return ok({ changes: [], revision });
          delivered = true;
          revision += 1;
          const changes = CHANGE_KEYS.map((key) => ({ key, value: '', revision }));
          return ok({ changes, revision });
        },
      } as unknown as KeyValueStore;
      await new Promise<void>((resolve) => {
        const handle = (call: string) => {
          calls.push(call);
          if (isEnough(calls)) {
            follower.stop();
            resolve();
          }
          fail(call);
        };
        const follower = followPrefix({
          store,
          prefix: 'servers/',
          events: SILENT_EVENTS,
          onListing: () => {
            handle('listing');
          },
          onChange: ({ key }) => {
            handle(key);
          },
        });
      });
      return calls;
    }

    it('of one change goes on with the others', async () => {
      const calls = await follow(
        (call) => {
          if (call === 'servers/odd') throw new Error('unreadable');
        },
        (seen) => seen.includes('servers/b'),
      );
      expect(calls).to.deep.equal(['listing', ...CHANGE_KEYS]);
    });

    it('of a listing lists again', async () => {
      let failures = 0;
      const calls = await follow(
        () => {
          failures += 1;
          if (failures === 1) throw new Error('unreadable');
        },
        (seen) => seen.includes('servers/b'),
      );
      expect(calls).to.deep.equal(['listing', 'listing', ...CHANGE_KEYS]);
    });
  });
});
