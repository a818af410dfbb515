import { expect } from 'chai';
import { createMemoryStore } from '../../src/platform/index.js';
import { createAllotments, type Allotments } from '../../src/teams/index.js';

const TEAM = { name: 'lawns', share: 1, limit: 16 };

/** Acquires until the part is used up, rebalancing after each round. */
async function takeAll(allotments: Allotments): Promise<number> {
  let taken = 0;
  for (let round = 0; round < 20; round += 1) {
    while (allotments.acquire(TEAM.name)) taken += 1;
    await allotments.rebalance();
  }
  return taken;
}

describe('allotments', () => {
  it('move to an owner that requests parts once an owner with unused parts is notified', async () => {
    const store = createMemoryStore();
    const now = () => 0;
    const [holder, asker] = ['h1/b1', 'h2/b1'].map((owner) => {
      const allotments = createAllotments({ store, owner, now });
      allotments.setLimits(new Map([[TEAM.name, TEAM]]), 1);
      return allotments;
    }) as [Allotments, Allotments];
    expect(await takeAll(holder)).to.equal(TEAM.limit);
    for (let task = 0; task < TEAM.limit; task += 1) holder.release(TEAM.name);
    expect(await takeAll(asker)).to.equal(0);
    expect(asker.wantedTeams()).to.deep.equal([TEAM.name]);
    holder.noteWanted(TEAM.name);
    await holder.rebalance();
    const moved = await takeAll(asker);
    expect(moved).to.be.above(0);
    expect(moved + holder.spare(TEAM.name)).to.be.at.most(TEAM.limit);
  });
});
