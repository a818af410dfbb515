import { expect } from 'chai';
import { v7 as createUuidV7 } from 'uuid';
import {
  createCallerApp,
  REFUSAL_STATUS,
  UNKNOWN_STATUS,
  type CallerBackend,
} from '../../src/callers/index.js';
import { compileConfiguration, hashSecret } from '../../src/catalogue/index.js';
import { UNLIMITED_BODIES } from '../support.js';
import {
  refuse,
  unknownOutcome,
  type DoneOutcome,
  type Outcome,
  type WorkRequest,
} from '../../src/model/index.js';

const CATALOGUE = `
teams: { lawns: { share: 1, limit: 4 }, clubs: { share: 1, limit: 4 } }
entries:
  lookup: { owner: lawns, class: interactive, idempotent: true, size: { processors: 1, memoryMb: 1 }, maxInputBytes: 64 }
  gate: { owner: lawns, class: interactive, idempotent: true, open: true, size: { processors: 1, memoryMb: 1 } }
  plan: { owner: lawns, class: batch, idempotent: true, size: { processors: 1, memoryMb: 1 } }
keys:
  lawns-1: { team: lawns, role: submitter, hash: ${hashSecret('lawns')} }
  clubs-1: { team: clubs, role: submitter, hash: ${hashSecret('clubs')} }
  operator-1: { role: operator, hash: ${hashSecret('operator')} }
`;
const CONFIGURATION = compileConfiguration(CATALOGUE, 1, 'change')._unsafeUnwrap();
const NOW = Date.parse('2026-12-05T10:00:00Z');

function createDoneOutcome(text: string): DoneOutcome {
  const body = Buffer.from(text);
  return { kind: 'done', status: 200, contentType: 'text/plain', body, worker: 'w1' };
}

function startApp(overrides: Partial<CallerBackend> = {}) {
  const submitted: WorkRequest[] = [];
  const backend: CallerBackend = {
    configuration: () => CONFIGURATION,
    keysCurrent: () => true,
    accepting: () => true,
    submit: (request) => {
      submitted.push(request);
      return Promise.resolve({
        kind: 'accepted',
        outcome: Promise.resolve(createDoneOutcome('ok')),
      });
    },
    status: () => Promise.resolve('not-found'),
    cancel: () => Promise.resolve('not-found'),
    ...overrides,
  };
  const limits = { maxBodyBytes: 128, maxIdAgeMs: 600_000, maxClockSkewMs: 5000 };
  const app = createCallerApp({ backend, limits, bodies: UNLIMITED_BODIES, now: () => NOW });
  const post = (body: unknown, key?: string) =>
    app.request('/v1/requests', {
      method: 'POST',
      body: typeof body === 'string' ? body : JSON.stringify(body),
      headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
    });
  return { app, post, submitted };
}

function readProblem(response: Response): Promise<{ outcome?: string; reason?: string }> {
  return response.json() as Promise<{ outcome?: string; reason?: string }>;
}

describe('callers API', () => {
  describe('keys', () => {
    const cases = [
      ['no key', undefined, 401, 'not-authorized'],
      ['an unknown key', 'guess', 401, 'not-authorized'],
      ["another team's key", 'clubs', 403, 'wrong-team'],
      ['an operator key', 'operator', 401, 'not-authorized'],
    ] as const;
    for (const [name, key, status, reason] of cases) {
      it(`refuses a submission with ${name}`, async () => {
        const { post, submitted } = startApp();
        const response = await post({ entry: 'lookup' }, key);
        expect(response.status).to.equal(status);
        expect((await readProblem(response)).reason).to.equal(reason);
        expect(submitted).to.have.length(0);
      });
    }

    it('refuses entries that need a key, but serves open ones, while the keys may be out of date', async () => {
      const { post } = startApp({ keysCurrent: () => false });
      expect((await post({ entry: 'lookup' }, 'lawns')).status).to.equal(503);
      expect((await post({ entry: 'gate' })).status).to.equal(200);
    });

    it('charges the owner of an open entry, whatever key was sent', async () => {
      const { post, submitted } = startApp();
      await post({ entry: 'gate' }, 'clubs');
      expect(submitted[0]?.team).to.equal('lawns');
    });
  });

  describe('outcomes', () => {
    it('use different status codes for done, accepted, refused and unknown', () => {
      const statuses = Object.values(REFUSAL_STATUS);
      expect(statuses).not.to.include.members([200]);
      for (const status of [200, 202, UNKNOWN_STATUS]) expect(statuses).not.to.include(status);
    });

    const cases: readonly [string, Outcome, number, string][] = [
      ['unknown', unknownOutcome('lost'), 504, 'unknown'],
      ['refused', refuse('queue-full', 'later', 1500), 429, 'refused'],
    ];
    for (const [name, outcome, status, kind] of cases) {
      it(`report ${name} in the status code and the body`, async () => {
        const { post } = startApp({
          submit: () => Promise.resolve({ kind: 'outcome', outcome }),
        });
        const response = await post({ entry: 'lookup' }, 'lawns');
        expect(response.status).to.equal(status);
        expect((await readProblem(response)).outcome).to.equal(kind);
      });
    }

    it('round Retry-After up to whole seconds, so that no caller retries too early', async () => {
      const outcome = refuse('queue-full', 'later', 1500);
      const { post } = startApp({ submit: () => Promise.resolve({ kind: 'outcome', outcome }) });
      const response = await post({ entry: 'lookup' }, 'lawns');
      expect(response.headers.get('retry-after')).to.equal('2');
    });

    it('return a receipt for a batch entry and the outcome for an interactive one', async () => {
      const { post } = startApp();
      const receipt = await post({ entry: 'plan' }, 'lawns');
      expect([
        receipt.status,
        receipt.headers.get('location')?.startsWith('/v1/requests/'),
      ]).to.deep.equal([202, true]);
      const done = await post({ entry: 'lookup' }, 'lawns');
      expect([done.status, await done.text()]).to.deep.equal([200, 'ok']);
    });
  });

  describe('submissions', () => {
    it('report all validation errors together', async () => {
      const { post } = startApp();
      const response = await post({ entry: '', id: 'x', deadlineMs: -1, extra: 1 }, 'lawns');
      expect(response.status).to.equal(400);
      const { findings } = (await response.json()) as { findings: { place: string }[] };
      expect(findings.map(({ place }) => place).sort()).to.deep.equal([
        'body',
        'deadlineMs',
        'entry',
        'id',
      ]);
    });

    const refused = [
      ['text that is not JSON', '{', 400],
      ['an entry that is not in the catalogue', { entry: 'none' }, 404],
      ['an input above the limit of the entry', { entry: 'lookup', input: 'x'.repeat(80) }, 413],
      ['a body above the limit of the host', 'x'.repeat(2000), 413],
      [
        'an id from the future',
        { entry: 'lookup', id: createUuidV7({ msecs: NOW + 60_000 }) },
        422,
      ],
      [
        'an id so old that its record may have been removed',
        { entry: 'lookup', id: createUuidV7({ msecs: NOW - 700_000 }) },
        504,
      ],
    ] as const;
    for (const [name, body, status] of refused) {
      it(`reject ${name} before the request reaches the backend`, async () => {
        const { post, submitted } = startApp();
        expect((await post(body, 'lawns')).status).to.equal(status);
        expect(submitted).to.have.length(0);
      });
    }

    it('accept raw bytes with the id and deadline in headers', async () => {
      const { app, submitted } = startApp();
      const id = createUuidV7({ msecs: NOW });
      const response = await app.request('/v1/entries/lookup/requests', {
        method: 'POST',
        body: Buffer.from([0, 255, 1]),
        headers: { authorization: 'Bearer lawns', 'request-id': id, 'deadline-ms': '50' },
      });
      expect(response.status).to.equal(200);
      const [request] = submitted;
      expect([request?.id, request?.callerId, request?.startBefore]).to.deep.equal([
        id,
        true,
        NOW + 50,
      ]);
      expect([...(request?.input ?? [])]).to.deep.equal([0, 255, 1]);
    });
  });
});
