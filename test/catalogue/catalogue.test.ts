import { expect } from 'chai';
import { compileConfiguration, parseCatalogue } from '../../src/catalogue/index.js';

const HASH = 'a'.repeat(64);

function findingsOf(text: string): readonly string[] {
  return parseCatalogue(text, 'f')
    ._unsafeUnwrapErr()
    .map(({ line, column, problem }) => `${String(line)}:${String(column)} ${problem}`);
}

describe('catalogue', () => {
  describe('parseCatalogue', () => {
    it('reports errors of every kind together, so that an operator can correct a file in one pass', () => {
      const text = [
        'teams:',
        '  gate: { share: 2, limit: -1 }',
        '  gate: { share: 2, limit: 5 }',
        'entries:',
        '  lookup:',
        '    owner: gaet',
        '    class: interactive',
        '    size: { processors: -0.5, memoryMb: 256 }',
        '    maxRuns: 3',
        '  draw:',
        '    owner: gate',
        '    class: gang',
        '  allocation: { owner: gate, class: batch, tasks: 4 }',
        '  plan: { class: batch }',
        'keys:',
        `  k1: { team: clubs, hash: ${HASH} }`,
        `  k2: { team: gate, hash: ${HASH} }`,
        '',
      ].join('\n');
      expect(findingsOf(text)).to.deep.equal([
        '3:3 duplicate name "gate", first used on line 2',
        '6:12 unknown owner "gaet"',
        '8:25 "processors" is -0.5',
        '9:5 unknown field "maxRuns"',
        '12:12 a gang has one task',
        '13:51 an entry of class batch has 4 tasks',
        '14:3 "owner" is missing',
        '16:15 unknown team "clubs"',
        '17:27 the keys "k1" and "k2" have the same secret',
      ]);
    });

    const singleErrors = [
      ['an unclosed quote', 'teams:\n  a: "x', /^2:8 Missing closing/],
      ['an unknown alias', 'teams: *a', /^1:1 Unresolved alias/],
      ['an empty file', '', /^1:1 "the file" is empty/],
      ['a list instead of a mapping', 'teams: []', /^1:8 "teams" is a list/],
      ['a name that would break store keys', 'teams:\n  a.b: { limit: 1 }', /^2:3 the name "a.b"/],
      ['a misspelled section', 'team: {}', /^1:1 unknown field "team"/],
      ['a team without a limit', 'teams:\n  a: { share: 1 }', /^2:3 "limit" is missing/],
      ['a wrong class', 'entries:\n  a: { owner: b, class: urgent }', /"class" is "urgent"/],
      ['a submitter key without a team', `keys:\n  a: { hash: ${HASH} }`, /^2:3 "team" is missing/],
    ] as const;
    for (const [error, text, expected] of singleErrors) {
      it(`reports the position of ${error}`, () => {
        expect(findingsOf(text).some((line) => expected.test(line))).to.equal(true, text);
      });
    }

    it('accepts a size larger than any current worker, because workers change more often than the catalogue', () => {
      const text =
        'teams: { a: { limit: 1 } }\nentries: { b: { owner: a, class: batch, size: { processors: 9999 } } }';
      expect(parseCatalogue(text).isOk()).to.equal(true);
    });
  });

  describe('compileConfiguration', () => {
    it('does not allow a second attempt at non-idempotent work by default', () => {
      const text =
        'teams: { a: { limit: 1 } }\nentries: { b: { owner: a, class: interactive }, c: { owner: a, class: batch, idempotent: true } }';
      const configuration = compileConfiguration(text, 3, 'change')._unsafeUnwrap();
      expect(configuration.entries.get('b')?.maxAttempts).to.equal(1);
      expect(configuration.entries.get('c')?.maxAttempts).to.equal(3);
      expect([configuration.revision, configuration.changeId]).to.deep.equal([3, 'change']);
    });
  });
});
