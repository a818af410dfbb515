import { expect } from 'chai';
import { compileConfiguration } from '../../src/catalogue/index.js';
import { createFakeBackend, CONFIGURATION_TEXT } from '../operators/fake-backend.js';
import { createHarness, type Harness, type Intercept } from './harness.js';

const EDITED = CONFIGURATION_TEXT.replace('limit: 10', 'limit: 20');
const HOSTS = [
  { host: 'a1', revision: 2, reachable: true },
  { host: 'b1', revision: 1, reachable: false },
];

/** Drops the connection of the first request with this method, before or after handling it. */
function dropConnectionOnce(method: string, apply: boolean): Intercept {
  let dropped = false;
  return async (context, next) => {
    if (context.req.method !== method || dropped) {
      await next();
      return undefined;
    }
    dropped = true;
    if (apply) await next();
    context.env.outgoing.destroy();
    return apply ? undefined : new Response();
  };
}

describe('sapphirewing apply', () => {
  let harness: Harness;
  beforeEach(async () => {
    harness = await createHarness();
  });
  afterEach(() => harness.close());

  function createBackend() {
    const backend = createFakeBackend();
    backend.rolloutRows = HOSTS;
    return backend;
  }

  it('prints the changes, the hosts that run them and the unreachable hosts', async () => {
    const host = await harness.startHost(createBackend());
    const { exit, out } = await harness.run(['apply', await harness.writeFile(EDITED)], [host]);
    expect(out.split('\n')).to.deep.equal([
      '~ team gate: limit 10 -> 20',
      'revision 2 runs on a1',
      'out of reach: b1',
      '',
    ]);
    expect(exit).to.equal(0);
  });

  it('stops waiting at the timeout for a reachable host that does not adopt the revision', async () => {
    const backend = createBackend();
    backend.rolloutRows = [{ host: 'a1', revision: 1, reachable: true }];
    const host = await harness.startHost(backend);
    const file = await harness.writeFile(EDITED);
    const { exit, out } = await harness.run(['apply', file, '--timeout-ms', '300'], [host]);
    expect(out).to.include('not yet on a1, which runs revision 1');
    expect(exit).to.equal(0);
  });

  it('applies only one of two concurrent changes and reports a conflict for the other', async () => {
    const backend = createBackend();
    let reads = 0;
    let release: () => void = () => undefined;
    const bothHaveRead = new Promise<void>((resolve) => (release = resolve));
    const host = await harness.startHost(backend, async (context, next) => {
      await next();
      if (context.req.method !== 'GET' || !context.req.path.endsWith('configuration')) return;
      reads += 1;
      if (reads === 2) release();
      await bothHaveRead;
    });
    const files = [EDITED, CONFIGURATION_TEXT.replace('limit: 10', 'limit: 30')].map((text) =>
      harness.writeFile(text),
    );
    const runs = files.map(async (file) => harness.run(['apply', await file], [host]));
    const [first, second] = await Promise.all(runs);
    expect([first?.exit, second?.exit].sort()).to.deep.equal([0, 3]);
    const loser = first?.exit === 3 ? first : second;
    expect(loser?.err).to.match(/^Conflict, nothing was applied: revision 2 is in force/);
    expect(backend.current?.revision).to.equal(2);
  });

  describe('after a lost response', () => {
    for (const [title, applied] of [
      ['finds a change that took effect', true],
      ['resends a change that did not take effect', false],
    ] as const) {
      it(`${title}, so that it is applied exactly once`, async () => {
        const backend = createBackend();
        const host = await harness.startHost(backend, dropConnectionOnce('PUT', applied));
        const { exit, out } = await harness.run(['apply', await harness.writeFile(EDITED)], [host]);
        expect([exit, backend.current?.revision]).to.deep.equal([0, 2]);
        expect(backend.changes).to.have.length(1);
        expect(out).to.include('revision 2 runs on a1');
      });
    }

    for (const [title, revision, exit] of [
      ['reports a conflict if another change became the next revision', 2, 3],
      ['reports an unknown result if a later revision hides it', 3, 5],
    ] as const) {
      it(title, async () => {
        const backend = createBackend();
        const dropConnection = dropConnectionOnce('PUT', false);
        const host = await harness.startHost(backend, async (context, next) => {
          if (context.req.method === 'PUT') {
            backend.current = compileConfiguration(
              CONFIGURATION_TEXT,
              revision,
              'other',
            )._unsafeUnwrap();
          }
          return dropConnection(context, next);
        });
        const result = await harness.run(['apply', await harness.writeFile(EDITED)], [host]);
        expect(result.exit).to.equal(exit);
        expect(backend.changes).to.deep.equal([]);
      });
    }
  });

  it('does not restore a withdrawn key from an old copy of the file', async () => {
    const backend = createBackend();
    const host = await harness.startHost(backend);
    const old = CONFIGURATION_TEXT.replace(/ {2}terminal:/, '  withdrawn:');
    const file = await harness.writeFile(old);
    const { exit, err } = await harness.run(['apply', file], [host]);
    expect([exit, backend.current?.revision]).to.deep.equal([3, 1]);
    expect(err).to.include('+ key withdrawn');
    expect((await harness.run(['apply', file, '--base', '1'], [host])).exit).to.equal(0);
  });

  it('sends nothing if the file has findings', async () => {
    const file = await harness.writeFile(CONFIGURATION_TEXT.replace('owner: gate', 'owner: gat'));
    const { exit, out } = await harness.run(['apply', file], [await harness.unusedUrl()]);
    expect(out).to.match(/file-1\.yaml:5:20: unknown owner "gat"/);
    expect(exit).to.equal(1);
  });
});
