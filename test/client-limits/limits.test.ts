/**
 * Guards against limits that leave no room for ordinary callers or for the host itself, and against a flood of log lines.
 */
import { expect } from 'chai';
import {
  createLimitLog,
  deriveClientLimits,
  type LimitReport,
} from '../../src/client-limits/index.js';
import { parseSettings } from '../../platform/settings.js';
import { formatHostSettings } from '../../stand-ins/platform/settings.js';

const MB = 1024 * 1024;

describe('the limits for clients', () => {
  it('are a part of the memory and of the descriptors of the host', () => {
    const limits = deriveClientLimits({ memoryMb: 210, maxDescriptors: 1024 });
    expect(limits.bufferBytes).to.equal(35 * MB);
    expect(limits.callerConnections).to.be.within(200, 1024 - 200 - 532);
    const larger = deriveClientLimits({ memoryMb: 602, maxDescriptors: 4096 });
    expect(larger.bufferBytes).to.be.greaterThan(100 * MB);
    expect(larger.callerConnections).to.be.greaterThan(3000);
  });

  it('let callers connect on hosts with few descriptors', () => {
    for (const maxDescriptors of [0, 200, 300, 512]) {
      const { callerConnections } = deriveClientLimits({ memoryMb: 210, maxDescriptors });
      expect(callerConnections).to.be.at.least(1);
    }
  });

  it('are absent for memory and callers where the settings do not name the resources', () => {
    const limits = deriveClientLimits({ memoryMb: undefined, maxDescriptors: undefined });
    expect(limits.bufferBytes).to.equal(Infinity);
    expect(limits.callerConnections).to.equal(Infinity);
  });

  it('are replaced one by one by the table of the settings file', () => {
    const base = formatHostSettings({
      name: 'a',
      ip: '127.0.0.1',
      dataCentre: 'centro',
      storeAddress: '127.0.0.1:1',
    });
    const read = (lines: string) => parseSettings(`${base}\n${lines}`);
    const set = read('[limits]\nmemory-mb = 210\nmax-fds = 400\n[client-limits]\nbuffer-bytes = 9');
    expect(set._unsafeUnwrap().clientLimits).to.deep.equal(
      deriveClientLimits({ memoryMb: 210, maxDescriptors: 400 }, { bufferBytes: 9 }),
    );
    const wrong = read('[client-limits]\nbody-timeout-ms = -1');
    expect(wrong._unsafeUnwrapErr()[0]?.place).to.equal('client-limits.body-timeout-ms');
  });
});

describe('the log of limited clients', () => {
  it('counts each one and has one line a second for each cause, with the number since the last one', () => {
    let now = 0;
    let counted = 0;
    const lines: LimitReport[] = [];
    const log = createLimitLog({
      now: () => now,
      count: () => (counted += 1),
      write: (line) => lines.push(line),
    });
    for (let index = 0; index < 1000; index += 1) log.record('callers', 'buffer-full');
    log.record('callers', 'body-timeout');
    now = 999;
    log.flush();
    expect(lines.map(({ count }) => count)).to.deep.equal([1, 1]);
    now = 1000;
    log.flush();
    log.flush();
    expect(lines.slice(2)).to.deep.equal([
      { listener: 'callers', cause: 'buffer-full', count: 999 },
    ]);
    expect(counted).to.equal(1001);
  });
});
