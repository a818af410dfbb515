import { expect } from 'chai';
import { releaseAfterEach } from '../support.js';
import {
  createWorkerSupport,
  createTaskStart,
  outcomeText,
  waitUntilRunning,
} from '../workers/support.js';

describe('record of the worker stand-in', () => {
  const release = releaseAfterEach();
  const { openClient, startStandIn } = createWorkerSupport(release);

  it('shows a task that ended because its lease was not renewed', async () => {
    const { client, record } = await startStandIn();
    const service = createTaskStart('t', {}, { class: 'service', leaseMs: 50 });
    expect(outcomeText(await client.start(service))).to.contain('lease-expired');
    expect((await record()).runs[0]).to.include({ task: 't', outcome: 'lease-expired' });
  });

  it('shows a task that ran twice because the worker had forgotten its id', async () => {
    const { client, record } = await startStandIn({ rememberMs: 0 });
    await client.start(createTaskStart('t'));
    await client.start(createTaskStart('t'));
    expect((await record()).violations).to.have.length(1);
    expect((await record()).violations[0]).to.include({ kind: 'ran-twice', effect: 'happened' });
  });

  it('shows violations of the slot limit and of the connection limit', async () => {
    const { url, client, record } = await startStandIn({ slots: 1, connections: 4 });
    const service = createTaskStart('t', {}, { class: 'service' });
    const started = client.start(service);
    await waitUntilRunning(client, 't');
    expect((await client.start(createTaskStart('u'))).kind).to.equal('refused');
    const others = [openClient(url), openClient(url)];
    await Promise.all(others.map((other) => other.report()));
    const { violations, peak } = await record();
    const kinds = violations.map(({ kind }) => kind);
    expect(peak).to.include({ processors: 1, tasks: 1 });
    expect([...new Set(kinds)]).to.deep.equal(['slots', 'connections']);
    (await client.stop('t', 1))._unsafeUnwrap();
    await started;
  });
});
