import { expect } from 'chai';
import { createValueStore } from '../../stand-ins/key-value/value-store.js';

describe('values of the key-value stand-in', () => {
  it('removes the keys of a lease that ends and wakes their watches', async () => {
    const values = createValueStore();
    const lease = values.grantLease(60_000);
    const written = values.write({ key: 'k', expectedVersion: 0, value: 'x', lease });
    const version = written.kind === 'written' ? written.version : 0;
    const change = values.waitForChange('k', version, 60_000);
    expect(values.renewLease(lease)).to.equal(true);
    values.endLease(lease);
    expect(await change).to.equal('changed');
    expect(values.get('k')).to.equal(undefined);
    const late = values.write({ key: 'k', expectedVersion: 0, value: 'x', lease });
    expect(late.kind).to.equal('no-lease');
    expect(values.renewLease(lease)).to.equal(false);
  });

  it('ends a lease that is not renewed, as it does for a paused holder', async () => {
    const values = createValueStore();
    const lease = values.grantLease(10);
    values.write({ key: 'k', expectedVersion: 0, value: 'x', lease });
    expect(await values.waitForChange('k', 1, 10_000)).to.equal('changed');
    expect(values.renewLease(lease)).to.equal(false);
  });
});
