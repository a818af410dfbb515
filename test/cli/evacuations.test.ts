/**
 * Guards against an operator who is told of a state that the leader does not have, or who cannot tell an evacuation that
 * is not in force from a leader that was not found.
 */
import { expect } from 'chai';
import { createFakeBackend } from '../operators/fake-backend.js';
import { createHarness, type Harness } from './harness.js';

const EVACUATIONS = [
  { dataCentre: 'dc1', since: '2026-12-07T02:00:00.000Z', inForceMs: 2500, workers: 4, runs: 3 },
];

describe('sapphirewing evacuations', () => {
  let harness: Harness;
  beforeEach(async () => {
    harness = await createHarness();
  });
  afterEach(() => harness.close());

  /** Starts a host that answers with this body, and returns its address. */
  async function startHost(body: unknown): Promise<string> {
    const backend = createFakeBackend();
    const url = await harness.startHost(backend, () => Promise.resolve(Response.json(body)));
    return url.replace('http://', '');
  }

  it('asks hosts until one leads, and prints the evacuations in force there', async () => {
    const gone = (await harness.unusedUrl()).replace('http://', '');
    const follower = await startHost({ host: 'a', leader: false });
    const leader = await startHost({ host: 'b', leader: true, evacuations: EVACUATIONS });
    const hosts = [gone, follower, leader];
    const { exit, out } = await harness.run(['evacuations'], hosts);
    expect(out.split('\n').map((line) => line.split(/ {2,}/))).to.deep.equal([
      ['data centre', 'since', 'in force', 'workers', 'runs left'],
      ['dc1', '2026-12-07T02:00:00.000Z', '2.5s', '4', '3'],
      [''],
    ]);
    expect(exit).to.equal(0);
    const json = await harness.run(['evacuations', '--json'], hosts);
    expect(JSON.parse(json.out)).to.deep.equal({ host: 'b', evacuations: EVACUATIONS });
  });

  it('says that nothing is evacuated', async () => {
    const leader = await startHost({ host: 'b', leader: true, evacuations: [] });
    const { exit, out } = await harness.run(['evacuations'], [leader]);
    expect([exit, out]).to.deep.equal([0, 'No data centre is evacuated.\n']);
  });

  it('is refused by a leader that follows no evacuations', async () => {
    const leader = await startHost({ host: 'b', leader: true });
    const { exit, out, err } = await harness.run(['evacuations'], [leader]);
    expect([exit, out]).to.deep.equal([1, '']);
    expect(err).to.include('evacuate-ms');
  });

  it('fails as unreachable if no host leads, and names each', async () => {
    const gone = (await harness.unusedUrl()).replace('http://', '');
    const follower = await startHost({ host: 'a', leader: false });
    const reading = await startHost({ host: 'c', leader: true, evacuations: 'unknown' });
    const odd = await startHost('metrics');
    const { exit, out, err } = await harness.run(['evacuations'], [gone, follower, reading, odd]);
    expect([exit, out]).to.deep.equal([4, '']);
    expect(err).to.include(`${gone}: `);
    expect(err).to.include(`${follower}: does not lead`);
    expect(err).to.include(`${reading}: leads, still reads`);
    expect(err).to.include(`${odd}: answered something else`);
  });

  for (const host of ['http://10.0.0.1:9464', '10.0.0.1', '10.0.0.1:99999']) {
    it(`reports ${host} as a wrong address`, async () => {
      const { exit, err } = await harness.run(['evacuations'], [host]);
      expect(exit).to.equal(2);
      expect(err).to.include('IP:PORT');
    });
  }

  it('reports that no host is given', async () => {
    expect((await harness.run(['evacuations'])).exit).to.equal(2);
  });
});
