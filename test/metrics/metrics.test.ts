import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { expect } from 'chai';
import { createMetrics } from '../../src/metrics/index.js';

describe('createMetrics', () => {
  it('sends buffered samples when it is closed, so that the last second is not lost', async () => {
    const server = createSocket('udp4');
    server.bind(0, '127.0.0.1');
    await once(server, 'listening');
    const received = once(server, 'message');
    const metrics = createMetrics({ address: '127.0.0.1', port: server.address().port });
    metrics.count('starts', 2, { team: 'lawns' });
    metrics.timing('wait', 7);
    await metrics.close();
    const [datagram] = (await received) as [Buffer];
    server.close();
    expect(datagram.toString()).to.contain('sapphirewing.starts:2|c|#team:lawns');
    expect(datagram.toString()).to.contain('sapphirewing.wait:7|ms');
  });

  it('sends nothing without an address', async () => {
    const metrics = createMetrics();
    metrics.gauge('queued', 1);
    await metrics.close();
  });
});
