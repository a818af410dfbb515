import { readFile } from 'node:fs/promises';
import { expect } from 'chai';
import { parse } from 'yaml';
import { parseCatalogue } from '../../src/catalogue/index.js';
import { fitsWithin, type Fleet } from '../../src/model/index.js';
import { parseSettings } from '../../src/settings/index.js';

const USERS = [
  { user: 'guadalajara', dataCentres: 3, perRack: 8, processors: 32 },
  { user: 'cluj', dataCentres: 4, perRack: 6, processors: 16 },
];

describe('examples', () => {
  for (const { user, dataCentres, perRack, processors } of USERS) {
    it(`of ${user} have the scale of the design, and every entry fits a worker`, async () => {
      const read = (name: string) => readFile(`examples/${user}/${name}.yaml`, 'utf8');
      const catalogue = parseCatalogue(await read('catalogue'))._unsafeUnwrap();
      const settings = parseSettings(await read('settings'), 'settings')._unsafeUnwrap();
      const fleet = parse(await read('fleet')) as Fleet;
      expect(catalogue.teams.size).to.equal(6);
      expect(fleet.workers).to.have.length(30);
      expect(fleet.hosts.length).to.be.within(6, 8);
      expect(new Set(fleet.workers.map(({ dataCentre }) => dataCentre)).size).to.equal(dataCentres);
      const inRack = (name: string) => fleet.workers.filter(({ rack }) => rack === name).length;
      expect(Math.max(...fleet.workers.map(({ rack }) => inRack(rack)))).to.equal(perRack);
      const capacity = fleet.workers.at(-1)?.capacity;
      expect(capacity?.processors).to.equal(processors);
      for (const { size } of catalogue.entries.values()) {
        expect(capacity && fitsWithin(size, capacity)).to.equal(true);
      }
      expect(fleet.hosts.map(({ id }) => id)).to.include(settings.host.id);
      const ids = [...fleet.workers, ...fleet.hosts].map(({ id }) => id);
      expect(new Set(ids).size).to.equal(ids.length);
    });
  }
});
