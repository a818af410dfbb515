/** Guards against access that is decided by a configuration which a confirmed change has replaced. */
import { expect } from 'chai';
import type { DenialReason } from '../../src/intake/index.js';
import { createCallerService } from '../../src/intake/index.js';
import type { CallerServiceOptions } from '../../src/intake/index.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';
import type { ActiveConfiguration } from '../../src/queues/index.js';

const APPLY_MS = 3000;
const CALLER = { host: 'seams.example', path: '/checks/', key: 'key' };
const TEAM = { name: 'lawns', keys: ['key'], weight: 1 };
const QUEUE = { name: 'checks', host: CALLER.host, prefix: '/checks/', open: false };

interface Case {
  readonly hasQueue: boolean;
  /** Age of the last confirmation when the caller arrives. */
  readonly ageMs: number;
  /** What each read of the store finds, in order; `failed` for one without an answer. */
  readonly reads?: readonly ('queue' | 'no-queue' | 'failed')[];
  /** How long before its answer each read was sent, in milliseconds. */
  readonly sentAgoMs?: number;
  readonly canRefresh?: boolean;
}

function configurationWith(hasQueue: boolean, revision: number): ActiveConfiguration {
  const configuration = { version: revision, queues: hasQueue ? [QUEUE] : [], teams: [TEAM] };
  return { configuration, revision } as unknown as ActiveConfiguration;
}

async function decide({ hasQueue, ageMs, reads = [], sentAgoMs = 0, canRefresh = true }: Case) {
  let confirmedAt = performance.now() - ageMs;
  const pending = [...reads];
  const configuration = { current: configurationWith(hasQueue, 1) };
  let count = 0;
  const service = createCallerService({
    host: 'h1',
    configuration,
    configurationApplyMs: APPLY_MS,
    confirmedAt: () => confirmedAt,
    isStoreLost: () => false,
    canRefresh: () => canRefresh,
    refreshConfiguration: () => {
      count += 1;
      const found = pending.shift() ?? 'failed';
      if (found !== 'failed') {
        configuration.current = configurationWith(found === 'queue', count + 1);
        confirmedAt = performance.now() - sentAgoMs;
      }
      return Promise.resolve();
    },
    events: SILENT_EVENTS,
    meters: createMeters(),
  } as unknown as CallerServiceOptions);
  const access = await service.authorize(CALLER);
  const decision: DenialReason | 'granted' = access.isOk() ? 'granted' : access.error;
  return { decision, reads: count };
}

describe('access to a queue', () => {
  describe('that the configuration of the host does not have', () => {
    it('is denied at once by a configuration that was confirmed just now', async () => {
      expect(await decide({ hasQueue: false, ageMs: 10 })).to.deep.equal({
        decision: 'no-queue',
        reads: 0,
      });
    });

    it('is granted if a read finds the queue', async () => {
      const { decision } = await decide({ hasQueue: false, ageMs: 400, reads: ['queue'] });
      expect(decision).to.equal('granted');
    });

    // Guards against 404 for a new route at a host whose read has failed.
    it('is not denied by a configuration that could not be confirmed', async () => {
      const { decision } = await decide({ hasQueue: false, ageMs: 400, reads: ['failed'] });
      expect(decision).to.equal('unconfirmed');
    });

    // Guards against a denial by what a read shared with earlier callers has found.
    it('is not denied by a read that was sent before the caller arrived', async () => {
      const reads = ['no-queue', 'queue'] as const;
      const late = await decide({ hasQueue: false, ageMs: 400, reads, sentAgoMs: 300 });
      expect(late).to.deep.equal({ decision: 'granted', reads: 2 });
    });

    it('is left open at once while the host is cut off from the store', async () => {
      const cutOff = await decide({ hasQueue: false, ageMs: 5000, canRefresh: false });
      expect(cutOff).to.deep.equal({ decision: 'unconfirmed', reads: 0 });
    });
  });

  describe('that the configuration of the host has', () => {
    it('is granted without a read while changes need not be in force', async () => {
      const { decision, reads } = await decide({ hasQueue: true, ageMs: 1000 });
      expect({ decision, reads }).to.deep.equal({ decision: 'granted', reads: 0 });
    });

    // Guards against a removed route that a host with a delayed event loop goes on serving.
    it('is not granted by a configuration that is older than changes may be', async () => {
      const late = await decide({ hasQueue: true, ageMs: 3500, reads: ['no-queue'] });
      expect(late.decision).to.equal('no-queue');
    });

    it('is granted without a read while the host is cut off from the store', async () => {
      const cutOff = await decide({ hasQueue: true, ageMs: 9000, canRefresh: false });
      expect(cutOff).to.deep.equal({ decision: 'granted', reads: 0 });
    });
  });
});
