/**
 * Guards against a record that grows with the cell, is written while nothing waits, or is mistaken for a recent one.
 */
import { expect } from 'chai';
import { createWaitPublication, decodeWaits, describeWaits } from '../../src/admission/index.js';
import type { PublishedWaits, QueueWaits } from '../../src/admission/index.js';

function createWaits(onTimeMs: number): QueueWaits {
  const waits = { onTimeMs, lateMs: onTimeMs * 2 };
  return { within: waits, beyond: waits };
}

function describePublished(published: Partial<PublishedWaits> = {}) {
  return describeWaits({
    epoch: 7,
    hosts: 5,
    waits: new Map([['checks', createWaits(1234)]]),
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
    const { queues, teams } = describePublished({ waits: new Map([['checks', createWaits(100)]]) });
    expect({ queues, teams }).to.deep.equal({ queues: {}, teams: {} });
  });

  it('stays within 8 KB for 60 teams and 12 queues', () => {
    const record = describePublished({
      waits: new Map(
        Array.from({ length: 12 }, (_, index) => [`queue-${String(index)}`, createWaits(45_678)]),
      ),
      teams: Array.from({ length: 60 }, (_, index) => ({
        name: `team-of-the-cell-${String(index)}`,
        jobs: 12.5,
        perSecond: 150,
      })),
    });
    expect(JSON.stringify(record).length).to.be.lessThan(8192);
  });

  for (const text of [undefined, '', '{', 'null', '{"epoch":1}', '{"queues":{"checks":1}}']) {
    it(`is not used if it reads ${String(text)}`, () => {
      expect(decodeWaits(text)).to.equal(undefined);
    });
  }
});

describe('publication of expected waits', () => {
  const EMPTY = describePublished({ waits: new Map() });
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
