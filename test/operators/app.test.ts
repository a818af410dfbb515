import { expect } from 'chai';
import { errAsync } from 'neverthrow';
import { hashSecret } from '../../src/catalogue/index.js';
import { createOperatorApp, type ChangeError } from '../../src/operators/index.js';
import { UNLIMITED_BODIES } from '../support.js';
import {
  createFakeBackend,
  OPERATOR_SECRET,
  TEAM_SECRET,
  CONFIGURATION_TEXT,
} from './fake-backend.js';

const BOOTSTRAP = 'bootstrap-secret';

function call(backend = createFakeBackend(), secret?: string) {
  const app = createOperatorApp({
    backend,
    bodies: UNLIMITED_BODIES,
    bootstrapKeyHash: hashSecret(BOOTSTRAP),
  });
  const headers: Record<string, string> =
    secret === undefined ? {} : { authorization: `Bearer ${secret}` };
  return async (method: string, path: string, body?: unknown) => {
    const response = await app.request(`/v1/operator/${path}`, {
      method,
      headers,
      ...(body !== undefined && { body: JSON.stringify(body) }),
    });
    return { status: response.status, body: (await response.json()) as Record<string, unknown> };
  };
}

describe('operators', () => {
  describe('keys', () => {
    const refused = [
      ['no key', undefined, 401],
      ['a wrong key', 'guess', 401],
      ["a team's key, which may only submit work", TEAM_SECRET, 401],
      ['the bootstrap key while an operator key is in force', BOOTSTRAP, 401],
    ] as const;
    for (const [title, secret, status] of refused) {
      it(`refuses a request with ${title}`, async () => {
        for (const path of ['configuration', 'queue', 'timeline', 'other']) {
          const answer = await call(createFakeBackend(), secret)('GET', path);
          expect(answer.status, path).to.equal(status);
          expect(answer.body).to.have.property('detail');
        }
      });
    }

    it('refuses operator keys while the keys may be out of date, because the key may have been withdrawn', async () => {
      const backend = createFakeBackend();
      backend.keysAreCurrent = false;
      expect((await call(backend, OPERATOR_SECRET)('GET', 'queue')).status).to.equal(503);
    });

    it('accepts the bootstrap key until there is an operator key, so that operators are not locked out', async () => {
      const backend = createFakeBackend('');
      const withoutOperators = CONFIGURATION_TEXT.replace(/ {2}admin.*\n/, '');
      const change = { text: withoutOperators, baseRevision: 0, changeId: 'c1' };
      const put = call(backend, BOOTSTRAP);
      expect((await put('PUT', 'configuration', change)).status).to.equal(200);
      const next = { text: CONFIGURATION_TEXT, baseRevision: 1, changeId: 'c2' };
      expect((await put('PUT', 'configuration', next)).status).to.equal(200);
      expect((await put('GET', 'configuration')).status).to.equal(401);
      expect(backend.changes.map(({ operator }) => operator)).to.deep.equal([
        'bootstrap',
        'bootstrap',
      ]);
    });

    it('does not let the bootstrap key replace a revision that the host has not read', async () => {
      const backend = createFakeBackend('');
      const change = { text: CONFIGURATION_TEXT, baseRevision: 7, changeId: 'c1' };
      expect((await call(backend, BOOTSTRAP)('PUT', 'configuration', change)).status).to.equal(503);
      expect(backend.changes).to.deep.equal([]);
    });
  });

  describe('configuration', () => {
    it('is returned with its change id, so that a client can tell whether a change with a lost response was applied', async () => {
      const { body } = await call(undefined, OPERATOR_SECRET)('GET', 'configuration');
      expect(body).to.deep.equal({ revision: 1, changeId: 'first', text: CONFIGURATION_TEXT });
    });

    const errors: readonly (readonly [ChangeError, number, string])[] = [
      [{ kind: 'conflict', revision: 9 }, 409, 'revision'],
      [{ kind: 'invalid', findings: [] }, 422, 'findings'],
      [{ kind: 'unavailable', detail: 'down' }, 503, 'kind'],
      [{ kind: 'in-doubt', detail: 'lost' }, 503, 'kind'],
    ];
    for (const [error, status, member] of errors) {
      it(`answers ${error.kind} with ${String(status)}`, async () => {
        const backend = { ...createFakeBackend(), apply: () => errAsync(error) };
        const change = { text: CONFIGURATION_TEXT, baseRevision: 1, changeId: 'c' };
        const answer = await call(backend, OPERATOR_SECRET)('PUT', 'configuration', change);
        expect(answer.status).to.equal(status);
        expect(answer.body).to.have.property('kind', error.kind);
        expect(answer.body).to.have.property(member);
      });
    }

    it('rejects a malformed change and one that is too large for the store', async () => {
      const put = call(undefined, OPERATOR_SECRET);
      expect((await put('PUT', 'configuration', { text: CONFIGURATION_TEXT })).status).to.equal(
        400,
      );
      const large = { text: 'x'.repeat(1_000_000), baseRevision: 1, changeId: 'c' };
      expect((await put('PUT', 'configuration', large)).status).to.equal(413);
    });
  });

  describe('timeline', () => {
    it('passes the filter to the backend and rejects an invalid time', async () => {
      const backend = createFakeBackend();
      const get = call(backend, OPERATOR_SECRET);
      await get('GET', 'timeline?request=r&kind=start&since=5');
      expect(backend.queries).to.deep.equal([{ request: 'r', kind: 'start', since: 5 }]);
      expect((await get('GET', 'timeline?since=yesterday')).status).to.equal(400);
    });
  });
});
