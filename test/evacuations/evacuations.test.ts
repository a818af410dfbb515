/**
 * Guards against a data centre that gets work although its key exists, or none although its key is gone, after listings
 * and changes in any order in which a follower can deliver them.
 */
import { expect } from 'chai';
import { createEvacuations } from '../../src/evacuations/index.js';
import type { Evacuations } from '../../src/evacuations/index.js';

const PREFIX = 'op/evacuate/';

describe('evacuations', () => {
  let evacuations: Evacuations;
  let log: string[];
  let time: number;

  const entry = (dataCentre: string, revision: number, value = '{}') => ({
    key: `${PREFIX}${dataCentre}`,
    value,
    revision,
  });
  const removal = (dataCentre: string, revision: number) => ({
    key: `${PREFIX}${dataCentre}`,
    value: undefined,
    revision,
  });
  const inForce = () => evacuations.all().map(({ dataCentre }) => dataCentre);

  beforeEach(() => {
    log = [];
    time = 0;
    evacuations = createEvacuations({
      prefix: PREFIX,
      now: () => time,
      onBegun: ({ dataCentre, revision }) => log.push(`${dataCentre} from ${String(revision)}`),
      onEnded: ({ dataCentre }) => log.push(`${dataCentre} ended`),
    });
  });

  it('are in force from a listing or a change until the key is removed', () => {
    evacuations.applyListing([entry('oeste', 4)]);
    evacuations.applyChange(entry('este', 6));
    expect(inForce()).to.deep.equal(['este', 'oeste']);
    evacuations.applyChange(removal('este', 7));
    evacuations.applyListing([]);
    expect(inForce()).to.deep.equal([]);
    expect(log).to.deep.equal(['oeste from 4', 'este from 6', 'este ended', 'oeste ended']);
  });

  it('concern no other data centre whose name begins alike', () => {
    evacuations.applyListing([entry('dc1', 4)]);
    expect(evacuations.isEvacuated('dc1')).to.equal(true);
    expect(evacuations.isEvacuated('dc10')).to.equal(false);
    expect(evacuations.isEvacuated('dc')).to.equal(false);
  });

  for (const value of ['', '\u0000', '{"until":0}', 'x'.repeat(100_000)]) {
    it(`are in force whatever the value is, such as ${JSON.stringify(value.slice(0, 12))}`, () => {
      evacuations.applyListing([entry('dc1', 4, value)]);
      evacuations.applyChange(entry('dc2', 5, value));
      expect(inForce()).to.deep.equal(['dc1', 'dc2']);
    });
  }

  it('begin once, also if the operator writes the key again because no acknowledgement came', () => {
    evacuations.applyChange(entry('dc1', 4));
    time = 500;
    evacuations.applyChange(entry('dc1', 5));
    evacuations.applyListing([entry('dc1', 5)]);
    expect(log).to.deep.equal(['dc1 from 4']);
    expect(evacuations.all()).to.deep.equal([{ dataCentre: 'dc1', revision: 5, since: 0 }]);
  });

  it('end as the listing says when a watch has written and removed the key in one batch', () => {
    evacuations.applyChange(entry('dc1', 4));
    evacuations.applyChange(removal('dc1', 5));
    expect(inForce()).to.deep.equal([]);
    evacuations.applyListing([entry('dc1', 6)]);
    expect(inForce()).to.deep.equal(['dc1']);
  });

  it('are not ended by a removal from before they began', () => {
    evacuations.applyListing([entry('dc1', 8)]);
    evacuations.applyChange(removal('dc1', 5));
    expect(inForce()).to.deep.equal(['dc1']);
  });
});
