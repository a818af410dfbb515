/**
 * Requests while the links between two data centres lose all messages and no host suspects the others yet.
 */
import { connect } from 'node:net';
import { expect } from 'chai';
import { DATA_CENTRES, heal, partition, useCell, type Endpoint } from './support.js';

const [FIRST = ''] = DATA_CENTRES;
/** All of them fit into the data centre of their hosts. */
const REQUESTS_PER_HOST = 8;
const ROUNDS = 8;

/** Sends requests in one write, so that the host reads them in one turn of its event loop. */
async function submitPipelined({ url }: Endpoint): Promise<readonly number[]> {
  const { hostname, port, host } = new URL(url);
  const body = JSON.stringify({ entry: 'open-lookup', input: {} });
  const message = [
    'POST /v1/requests HTTP/1.1',
    `host: ${host}`,
    'content-type: application/json',
    `content-length: ${String(body.length)}`,
    '',
    body,
  ].join('\r\n');
  const socket = connect(Number(port), hostname);
  try {
    socket.write(message.repeat(REQUESTS_PER_HOST));
    let received = '';
    for await (const chunk of socket.setEncoding('utf8')) {
      received += String(chunk);
      const statuses = [...received.matchAll(/HTTP\/1\.1 (?<status>\d+)/gmu)];
      if (statuses.length === REQUESTS_PER_HOST) {
        return statuses.map(({ groups }) => Number(groups?.status));
      }
    }
    throw new Error(`The connection ended after ${received}`);
  } finally {
    socket.destroy();
  }
}

describe('control: silent links', () => {
  const cell = useCell({ hosts: 1 });

  afterEach(async () => {
    await heal(cell());
  });

  // Guards against 504 for requests that were sent over a silent link although their own data centre was free.
  it('lose no requests that arrive at one moment while their data centre has free slots', async () => {
    // The hosts acquire allotments in the first rounds; without them no host forwards anything.
    for (let round = 0; round < ROUNDS; round += 1) {
      await partition(cell(), ({ dataCentre }) => dataCentre === FIRST);
      const statuses = await Promise.all(cell().hosts.map(submitPipelined));
      expect(statuses.flat().filter((status) => status !== 200)).to.deep.equal([]);
      await heal(cell());
    }
  });
});
