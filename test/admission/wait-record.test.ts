/**
 * Guards against a record that grows with the cell, is written while nothing waits, or is mistaken for a recent one.
 */
import { expect } from 'chai';
import { createWaitPublication, decodeWaits, describeWaits } from '../../src/admission/index.js';
import type { ExpectedWaits, PublishedWaits, QueueWaits } from '../../src/admission/index.js';

function createWaits(onTimeMs: number): QueueWaits {
  const waits = { onTimeMs, lateMs: onTimeMs * 2 };
  return { within: waits, beyond: waits };
}

function createAll(queues: readonly (readonly [string, QueueWaits])[]): ExpectedWaits {
  return { queues: new Map(queues), limited: [] };
}

function describePublished(published: Partial<PublishedWaits> = {}) {
  return describeWaits({
    epoch: 7,
    hosts: 5,
    waits: createAll([['checks', createWaits(1234)]]),
    usualTask: () => ({ workMs: 512, factor: 1.04 }),
    teams: [{ name: 'lawns', jobs: 3.7, perSecond: 50 }],
    ...published,
  });
}

describe('record of expected waits', () => {
  it('is read as it was written, in steps', () => {
    const record = { ...describePublished(), number: 3 };
    expect(decodeWaits(JSON.stringify(record))).to.deep.equal(record);
    expect(record.queues).to.deep.equal({
      checks: {
        within: { onTimeMs: 1200, lateMs: 2400 },
        beyond: { onTimeMs: 1200, lateMs: 2400 },
        usualMs: 500,
        factor: 1,
      },
    });
    expect(record.teams).to.deep.equal({ lawns: { jobs: 3, perSecond: 50 } });
  });

  it('is empty while no wait is long', () => {
    const { queues, limited, teams } = describePublished({
      waits: createAll([['checks', createWaits(100)]]),
    });
    expect({ queues, limited, teams }).to.deep.equal({ queues: {}, limited: {}, teams: {} });
  });

  it('names teams at their upper limits', () => {
    const limited = [{ team: 'lawns', queue: 'checks', waits: createWaits(900) }];
    const record = describePublished({ waits: { queues: new Map(), limited } });
    expect(record.limited.lawns?.checks?.within).to.deep.equal({ onTimeMs: 900, lateMs: 1800 });
    expect(record.teams).to.have.all.keys('lawns');
  });

  it('stays within 16 KB for 60 teams and 12 queues', () => {
    const record = describePublished({
      waits: {
        queues: new Map(
          Array.from({ length: 12 }, (_, index) => [`queue-${String(index)}`, createWaits(45_678)]),
        ),
        limited: Array.from({ length: 720 }, (_, index) => ({
          team: `team-of-the-cell-${String(index % 60)}`,
          queue: `queue-${String(index % 12)}`,
          waits: createWaits(45_678),
        })),
      },
      teams: Array.from({ length: 60 }, (_, index) => ({
        name: `team-of-the-cell-${String(index)}`,
        jobs: 12.5,
        perSecond: 150,
      })),
    });
    expect(JSON.stringify(record).length).to.be.lessThan(16_384);
  });

  for (const text of [undefined, '', '{', 'null', '{"epoch":1}', '{"queues":{"checks":1}}']) {
    it(`is not used if it reads ${String(text)}`, () => {
      expect(decodeWaits(text)).to.equal(undefined);
    });
  }
});

describe('publication of expected waits', () => {
  const EMPTY = describePublished({ waits: createAll([]) });
  const FULL = describePublished();

  function createCase() {
    let nowMs = 0;
    const publication = createWaitPublication({ now: () => nowMs });
    return {
      publication,
      /** Publishes every 400 ms and returns the numbers of what is written. */
      publish: (contents: readonly (typeof FULL)[]) =>
        contents.map((content) => {
          nowMs += 400;
          const record = publication.next(content);
          if (record !== undefined) publication.recordWritten(record);
          return record?.number;
        }),
    };
  }

  it('writes nothing in a calm cell', () => {
    expect(createCase().publish([EMPTY, EMPTY, EMPTY])).to.deep.equal([
      undefined,
      undefined,
      undefined,
    ]);
  });

  it('writes a record that stays the same at every second interval', () => {
    const numbers = createCase().publish([FULL, FULL, FULL, FULL, FULL]);
    expect(numbers).to.deep.equal([1, undefined, 2, undefined, 3]);
  });

  it('writes a change at once, and an empty record once', () => {
    const numbers = createCase().publish([FULL, { ...FULL, hosts: 4 }, EMPTY, EMPTY, EMPTY, FULL]);
    expect(numbers).to.deep.equal([1, 2, 3, undefined, undefined, 4]);
  });

  it('writes again under the same number after a failed write', () => {
    const { publication } = createCase();
    expect(publication.next(FULL)?.number).to.equal(1);
    expect(publication.next(FULL)?.number).to.equal(1);
  });
});
