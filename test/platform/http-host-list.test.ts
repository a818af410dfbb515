import { expect } from 'chai';
import { createHostList } from '../../src/platform/index.js';
import { callControlRoute } from '../../stand-ins/control.js';
import { startHostListServer } from '../../stand-ins/host-list/server.js';
import { findClosedUrl, releaseAfterEach } from '../support.js';

const HOUR_MS = 3_600_000;
const host = {
  id: 'h1',
  dataCentre: 'dc1',
  url: 'http://127.0.0.1:1',
  linkUrl: 'ws://127.0.0.1:2',
  state: 'live',
};
const fleet = { workers: [], hosts: [host] };

describe('createHostList', () => {
  const release = releaseAfterEach();

  async function startService(lagMs = 0) {
    const server = await startHostListServer({ lagMs });
    release(server.close);
    return { url: server.url, list: createHostList({ url: server.url, timeoutMs: 150 }) };
  }

  it('delivers a change only after the lag, as the platform does', async () => {
    const { url, list } = await startService(HOUR_MS);
    await callControlRoute(url, 'PUT', '/control/fleet', fleet);
    expect((await list.fetch())._unsafeUnwrap().hosts).to.deep.equal([]);
    await callControlRoute(url, 'PATCH', '/control/lag', { lagMs: 0 });
    expect((await list.fetch())._unsafeUnwrap()).to.deep.equal(fleet);
  });

  it('rejects a malformed fleet instead of passing it to the scheduler', async () => {
    const { url, list } = await startService();
    await callControlRoute(url, 'PUT', '/control/fleet', { workers: [{ id: 'w1' }], hosts: [] });
    expect((await list.fetch())._unsafeUnwrapErr().kind).to.equal('unavailable');
  });

  for (const outage of ['error', 'reset', 'hang']) {
    it(`reports an outage by ${outage} instead of waiting forever`, async () => {
      const { url, list } = await startService();
      await callControlRoute(url, 'PATCH', '/control/faults', { outage });
      expect((await list.fetch())._unsafeUnwrapErr().kind).to.equal('unavailable');
    });
  }

  it('reports a service whose port is closed', async () => {
    const list = createHostList({ url: await findClosedUrl(), timeoutMs: 150 });
    expect((await list.fetch())._unsafeUnwrapErr().kind).to.equal('unavailable');
  });
});
