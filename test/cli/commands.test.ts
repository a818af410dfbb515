import { readFile } from 'node:fs/promises';
import { expect } from 'chai';
import { findKey, parseCatalogue } from '../../src/catalogue/index.js';
import { createFakeBackend, CONFIGURATION_TEXT } from '../operators/fake-backend.js';
import { createHarness, type Harness, type Intercept } from './harness.js';

const ID = '01890a5d-ac96-774b-bcce-b302099a8057';
const INVALID_CATALOGUE = `teams:
  gate: { share: 0, limit: 10 }
entries:
  lookup: { owner: gat, class: interactive }
  draw: { owner: gate, class: gang }
  plan: { owner: gate, class: batch, size: { memoryMb: -1 }, retries: 3 }
`;

function respondWith(
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): Intercept {
  return () => Promise.resolve(Response.json(body, { status, headers }));
}

describe('sapphirewing', () => {
  let harness: Harness;
  beforeEach(async () => {
    harness = await createHarness();
  });
  afterEach(() => harness.close());

  describe('check', () => {
    it('prints five findings with line and column for five mistakes, without a host', async () => {
      const file = await harness.writeFile(INVALID_CATALOGUE);
      const { exit, out } = await harness.run(['check', file]);
      const lines = out
        .trimEnd()
        .split('\n')
        .map((line) => line.slice(file.length + 1));
      expect(lines.map((line) => line.replace(/;.*/, ''))).to.deep.equal([
        '2:18: "share" is 0',
        '4:20: unknown owner "gat"',
        '5:31: a gang has one task',
        '6:56: "memoryMb" is -1',
        '6:62: unknown field "retries"',
      ]);
      expect(exit).to.equal(1);
      const json = await harness.run(['check', file, '--json']);
      expect(JSON.parse(json.out)).to.have.length(5);
    });

    it('distinguishes settings from a catalogue', async () => {
      const file = 'examples/cluj/settings.yaml';
      expect((await harness.run(['check', file])).out).to.equal(
        `${file}: no findings (settings)\n`,
      );
      const { exit, out } = await harness.run(['check', 'examples/cluj/fleet.yaml']);
      expect([exit, out.includes('neither a catalogue nor')]).to.deep.equal([1, true]);
    });
  });

  describe('hosts', () => {
    it('fails over to the next host if one is unreachable', async () => {
      const host = await harness.startHost(createFakeBackend());
      const { exit, out } = await harness.run(['keys', 'list'], [await harness.unusedUrl(), host]);
      expect([exit, /^terminal +gate +submitter$/m.test(out)]).to.deep.equal([0, true]);
    });

    it('does not send a request to a second host if the first may have received it', async () => {
      let received = 0;
      const first = await harness.startHost(createFakeBackend(), (context) => {
        context.env.outgoing.destroy();
        return Promise.resolve(new Response());
      });
      const second = await harness.startHost(createFakeBackend(), async (_, next) => {
        received += 1;
        await next();
      });
      const { exit, err } = await harness.run(['submit', 'lookup'], [first, second]);
      expect([exit, received]).to.deep.equal([5, 0]);
      expect(err).to.include('may have run');
    });
  });

  describe('exit codes', () => {
    const refused = { title: 'Refused', detail: 'later', outcome: 'refused' };
    const done = { 'sapphirewing-outcome': 'done', 'sapphirewing-task-status': '200' };
    const outcomes = [
      ['done', respondWith(200, 'found', done), 0],
      ['accepted', respondWith(202, { state: 'queued' }), 0],
      ['refused', respondWith(503, refused), 1],
      ['unknown', respondWith(504, { outcome: 'unknown' }), 5],
      ['a 503 that no entry host wrote, which proves no refusal', respondWith(503, 'busy'), 5],
    ] as const;
    for (const [title, intercept, exit] of outcomes) {
      it(`of submit: ${String(exit)} for ${title}`, async () => {
        const host = await harness.startHost(createFakeBackend(), intercept);
        const result = await harness.run(['submit', 'lookup', '--id', ID], [host]);
        expect(result.exit, result.err).to.equal(exit);
      });
    }

    const failures = [
      ['an unknown command', ['no-such-command'], 2],
      ['a missing file', ['check', 'no-such-file'], 2],
      ['an option that is not a number', ['status', ID, '--wait-ms', 'x'], 2],
    ] as const;
    for (const [title, args, exit] of failures) {
      it(`${String(exit)} for ${title}`, async () => {
        expect((await harness.run(args)).exit).to.equal(exit);
      });
    }

    it('2 without a host, 4 for an unreachable host and 1 for a wrong key', async () => {
      const host = await harness.startHost(createFakeBackend());
      expect((await harness.run(['queue'])).exit).to.equal(2);
      expect((await harness.run(['queue'], [await harness.unusedUrl()])).exit).to.equal(4);
      expect((await harness.run(['queue'], [host], 'wrong')).exit).to.equal(1);
    });
  });

  describe('keys', () => {
    it('grants a key whose secret is printed once and not stored', async () => {
      const backend = createFakeBackend();
      backend.rolloutRows = [{ host: 'a1', revision: 9, reachable: true }];
      const host = await harness.startHost(backend);
      const file = await harness.writeFile(CONFIGURATION_TEXT);
      const args = ['keys', 'grant', 'kiosk', '--team', 'gate', '--file', file];
      const { exit, out, err } = await harness.run(args, [host]);
      const secret = out.trimEnd();
      expect([exit, secret.length]).to.deep.equal([0, 43]);
      expect(backend.current && findKey(backend.current, secret)?.id).to.equal('kiosk');
      expect(err + (backend.current?.text ?? '')).not.to.include(secret);
      expect(backend.current?.text).to.include('# the terminal at the gate');
      expect(await readFile(file, 'utf8')).to.equal(backend.current?.text);
    });

    it('retries a withdrawal on the new revision after a conflict, so that the key does not stay active', async () => {
      const backend = createFakeBackend();
      backend.rolloutRows = [{ host: 'a1', revision: 9, reachable: true }];
      let conflicted = false;
      const host = await harness.startHost(backend, async (context, next) => {
        if (context.req.method === 'PUT' && !conflicted && backend.current !== undefined) {
          conflicted = true;
          backend.current = { ...backend.current, revision: 2, changeId: 'other' };
        }
        await next();
      });
      const { exit } = await harness.run(['keys', 'withdraw', 'terminal'], [host]);
      expect([exit, backend.current?.revision]).to.deep.equal([0, 3]);
      const keys = parseCatalogue(backend.current?.text ?? '')._unsafeUnwrap().keys;
      expect(keys.map(({ id }) => id)).to.deep.equal(['admin']);
    });
  });

  describe('tables', () => {
    const row = {
      host: 'a1',
      dataCentre: 'a',
      team: 'gate',
      entry: 'lookup\u001b[31m',
      class: 'interactive',
      queued: 3,
      oldestWaitMs: 1200,
    } as const;

    it('contain no escape sequences in a pipe, with a warning that names hosts whose rows are missing', async () => {
      const queue = () => Promise.resolve({ rows: [row], unreachable: ['b1'] });
      const host = await harness.startHost({ ...createFakeBackend(), queue });
      const { out, err } = await harness.run(['queue'], [host]);
      expect(out)
        .to.match(/^host +data centre +team/)
        .and.not.include('\u001b');
      expect(err).to.include('b1');
      const json = await harness.run(['queue', '--json'], [host]);
      expect(JSON.parse(json.out)).to.deep.equal({ rows: [row], unreachable: ['b1'] });
    });

    it('print each timeline event on one line, even if its detail contains line breaks', async () => {
      const at = { ms: 0, counter: 2 };
      const event = { at, host: 'a1', bootId: 'b', sequence: 1, kind: 'start', detail: 'x\ny' };
      const timeline = () => Promise.resolve({ rows: [event, event], unreachable: [] });
      const host = await harness.startHost({ ...createFakeBackend(), timeline });
      const { out } = await harness.run(['timeline'], [host]);
      const line = '1970-01-01T00:00:00.000Z+2 a1 start x?y\n';
      expect(out).to.equal(line + line);
    });
  });
});
