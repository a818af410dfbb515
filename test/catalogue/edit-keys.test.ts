import { expect } from 'chai';
import { addKey, diffCatalogues, removeKey } from '../../src/catalogue/index.js';
import type { ApiKey } from '../../src/model/index.js';

const hash = (digit: string) => digit.repeat(64);
const key: ApiKey = { id: 'new', team: 'a', hash: hash('f'), role: 'submitter' };

const TEXT = `# who works here
teams:
  a: { limit: 3 } # raised in May
entries: {}
keys:
  # the gate's terminal
  k1: { team: a, hash: '${hash('1')}' }

  # Keys of the clubs

  # lent to the league until autumn
  k2: { team: a, hash: '${hash('2')}' }
  # the office
  k3: { team: a, hash: '${hash('3')}' }

# end of file
`;

describe('key edits', () => {
  it('keep all comments when a key is added', () => {
    const edited = addKey(TEXT, key)._unsafeUnwrap();
    const comments = [...TEXT.matchAll(/#.*$/gm)].map(String);
    for (const comment of comments) expect(edited).to.include(comment);
    expect(diffCatalogues(TEXT, edited)).to.deep.equal([
      { kind: 'added', part: 'key', name: 'new', fields: [] },
    ]);
  });

  it('remove only the comment of the removed key, not the heading above it', () => {
    const edited = removeKey(TEXT, 'k2')._unsafeUnwrap();
    expect(edited).not.to.include('lent to the league');
    expect(edited).to.include('  # Keys of the clubs\n\n  # the office\n  k3:');
    expect(edited).to.include('# end of file');
    expect(diffCatalogues(TEXT, edited).map((change) => change.name)).to.deep.equal(['k2']);
  });

  it('restore the text when an added key is removed again', () => {
    const added = addKey(TEXT, key)._unsafeUnwrap();
    expect(removeKey(added, 'new')._unsafeUnwrap()).to.equal(TEXT);
  });

  it('refuse to replace a key of the same id, which would withdraw it silently', () => {
    expect(addKey(TEXT, { ...key, id: 'k1' })._unsafeUnwrapErr().kind).to.equal('exists');
    expect(removeKey(TEXT, 'other')._unsafeUnwrapErr().kind).to.equal('absent');
  });

  it('create the section for the first key', () => {
    const edited = addKey('teams:\n  a: { limit: 3 }\n', key)._unsafeUnwrap();
    expect(edited).to.include('keys:\n  new:\n    team: a\n');
  });

  it('report an unknown team instead of writing a text that no host accepts', () => {
    expect(addKey(TEXT, { ...key, team: 'z' })._unsafeUnwrapErr().kind).to.equal('invalid');
  });
});
