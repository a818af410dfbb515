import { expect } from 'chai';
import { createLog, type LogLevel } from '../../src/log/index.js';

function collect(level: LogLevel, format: 'text' | 'json') {
  const lines: string[] = [];
  const write = (line: string) => lines.push(line);
  return { lines, log: createLog('links', { level, format, write, now: () => 0 }) };
}

describe('createLog', () => {
  const levels: readonly (readonly [LogLevel, number])[] = [
    ['debug', 4],
    ['info', 3],
    ['warn', 2],
    ['error', 1],
    ['silent', 0],
  ];
  for (const [level, expected] of levels) {
    it(`writes ${String(expected)} of 4 lines at level ${level}, so that no level hides a more severe one`, () => {
      const { lines, log } = collect(level, 'text');
      log.debug('a');
      log.info('b');
      log.warn('c');
      log.error('d');
      expect(lines).to.have.length(expected);
    });
  }

  it('keeps a message with line breaks on one line, so that a line cannot be forged', () => {
    const { lines, log } = collect('info', 'text');
    log.info('first\n[store] second', { peer: 'x\ny', host: 'h1', absent: undefined });
    expect(lines).to.deep.equal([
      '[links] 1970-01-01T00:00:00.000Z info first [store] second peer="x\\ny" host=h1',
    ]);
  });

  it('does not let a field override the level or the part in the JSON format', () => {
    const { lines, log } = collect('info', 'json');
    log.warn('slow', { level: 'debug', part: 'other', bytes: 5 });
    const line = JSON.parse(lines[0] ?? '') as unknown;
    expect(line).to.include({ level: 'warn', part: 'links', message: 'slow', bytes: 5 });
  });

  it('keeps the levels of two logs of the same part independent', () => {
    const quiet = collect('error', 'text');
    collect('debug', 'text');
    quiet.log.info('hidden');
    expect(quiet.lines).to.deep.equal([]);
  });
});
