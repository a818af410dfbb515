import { expect } from 'chai';
import { createStore } from '../../src/platform/index.js';
import {
  callControlRoute,
  startHostList,
  startKeyValue,
  startProcess,
  startWorkerProcess,
  type RunningProcess,
} from '../../stand-ins/control.js';
import { releaseAfterEach } from '../support.js';

const capacity = { processors: 1, memoryMb: 1, accelerators: 0 };

describe('stand-ins as processes', () => {
  const release = releaseAfterEach();

  function keep<T extends RunningProcess>(started: T): T {
    release(() => started.stop('SIGKILL'));
    return started;
  }

  it('start, report their address and end with code 0, so that no test leaves a process behind', async () => {
    const started = await Promise.all([startKeyValue(), startHostList(), startWorkerProcess([])]);
    started.forEach(keep);
    for (const each of started) expect(await each.stop()).to.equal(0);
  });

  it('serve several workers from one process, each with its own record', async () => {
    const specs = ['w1', 'w2'].map((id) => ({ id, capacity, slots: 2 }));
    const { workers } = keep(await startWorkerProcess(specs));
    const records = await Promise.all(
      workers.map(({ url }) => callControlRoute(url, 'GET', '/control/record')),
    );
    expect(records.map((record) => (record as { id: string }).id)).to.deep.equal(['w1', 'w2']);
  });

  it('answer again after a pause, which a test uses in place of a stalled machine', async () => {
    const keyValue = keep(await startKeyValue());
    const store = createStore({ url: keyValue.url, timeoutMs: 100 });
    keyValue.signal('SIGSTOP');
    expect((await store.get('k')).isErr()).to.equal(true);
    keyValue.signal('SIGCONT');
    const patient = createStore({ url: keyValue.url, timeoutMs: 5000 });
    expect((await patient.get('k')).isOk()).to.equal(true);
  });

  it('report what a process wrote that ends before it is ready', async () => {
    const script = new URL('./no-such-file.js', import.meta.url).pathname;
    const failure = await startProcess({ script }).catch(String);
    expect(failure).to.contain('MODULE_NOT_FOUND');
  });
});
