import { expect } from 'chai';
import { formatTable, type Column } from '../../src/cli/table.js';

const COLUMNS: readonly Column<string>[] = [
  { title: 'state', value: (row) => row, tone: () => 'bad' },
  { title: 'n', value: () => '1', align: 'right' },
];

describe('formatTable', () => {
  it('aligns columns by their visible text, so that colour codes do not shift them', () => {
    expect(formatTable(COLUMNS, ['suspected'], false)).to.deep.equal([
      'state      n',
      'suspected  1',
    ]);
    expect(formatTable(COLUMNS, ['suspected'], true)).to.deep.equal([
      '\u001b[1mstate      n\u001b[0m',
      '\u001b[31msuspected\u001b[0m  1',
    ]);
  });
});
