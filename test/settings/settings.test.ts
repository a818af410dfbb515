import { expect } from 'chai';
import { parseSettings } from '../../src/settings/index.js';

const VALID = `host: { id: h1, dataCentre: dc1 }
listen: { address: 127.0.0.1, port: 0 }
advertise: http://127.0.0.1:7000
links: { port: 0, advertise: 'ws://127.0.0.1:7001', secret: sixteen-letters-x }
store: http://127.0.0.1:7002
hostList: http://127.0.0.1:7003
dataCentres: [dc1, dc2]
`;

function findingsOf(text: string): readonly string[] {
  return parseSettings(text, 'f')
    ._unsafeUnwrapErr()
    .map(({ line, column, problem }) => `${String(line)}:${String(column)} ${problem}`);
}

describe('settings', () => {
  it('have the defaults that the design assumes, so that a short file is safe', () => {
    const settings = parseSettings(VALID, 'f')._unsafeUnwrap();
    expect(settings.timers).to.deep.equal({
      heartbeatMs: 1000,
      suspectAfterMs: 5000,
      leaseMs: 10_000,
      keyStalenessMs: 5000,
      drainGraceMs: 1000,
    });
    expect(settings.limits).to.deep.equal({
      maxBodyBytes: 1_048_576,
      maxIdAgeMs: 600_000,
      maxClockSkewMs: 5000,
      bufferBytes: 67_108_864,
      callerConnections: 600,
      unidentifiedLinks: 64,
      pipelinedRequests: 8,
      smallChunks: 8192,
      headerTimeoutMs: 3000,
      bodyTimeoutMs: 10_000,
      responseTimeoutMs: 10_000,
      idleTimeoutMs: 60_000,
    });
    expect(settings.scheduling.urgentShare).to.equal(0.9);
    expect([settings.metrics, settings.peers, settings.links.address]).to.deep.equal([
      'off',
      [],
      '0.0.0.0',
    ]);
  });

  it('report all errors with their positions, including nested and missing fields', () => {
    const text = VALID.replace('dataCentre: dc1', 'datacenter: dc1')
      .replace('store: http:', 'store: ftp:')
      .concat('timers: { heartbeatMs: 100, suspectAfterMs: 50, leaseMs: 0.5 }\n')
      .concat('peers:\n  - { id: p1, dataCentre: dc1, url: x, linkUrl: ws://p1 }\n');
    expect(findingsOf(text)).to.deep.equal([
      '1:1 "dataCentre" is missing',
      '1:17 unknown field "datacenter"',
      '5:8 "store" is "ftp://127.0.0.1:7002"',
      '8:58 "leaseMs" is 0.5',
      '10:37 "url" is "x"',
    ]);
  });

  it('never show a secret, because findings are written to logs', () => {
    const findings = findingsOf(VALID.replace('sixteen-letters-x', 'hunter2'));
    expect(findings).to.deep.equal(['4:61 "secret" is not valid']);
  });

  const contradictions = [
    [
      'a lease that ends before peers renew it',
      'timers: { leaseMs: 5000 }',
      /^8:20 leases of a dead/,
    ],
    [
      'a suspicion timeout within one heartbeat',
      'timers: { heartbeatMs: 5000 }',
      /^8:1 live peers/,
    ],
    [
      'a peer that is listed twice',
      'peers:\n  - { id: p1, dataCentre: dc1, url: http://p1, linkUrl: ws://p1 }\n  - { id: p1, dataCentre: dc2, url: http://p2, linkUrl: ws://p2 }',
      /^10:11 duplicate peer "p1"/,
    ],
  ] as const;
  for (const [contradiction, line, expected] of contradictions) {
    it(`report ${contradiction}`, () => {
      const findings = findingsOf(VALID + line);
      expect(findings).to.have.length(1);
      expect(findings[0]).to.match(expected);
    });
  }

  it('report a list of data centres that lacks the own one, which would change the home of every id', () => {
    expect(findingsOf(VALID.replace('[dc1, dc2]', '[dc2]'))).to.deep.equal([
      '7:14 the list lacks the data centre "dc1" of this host',
    ]);
  });

  it('report links that advertise a TLS URL without a certificate', () => {
    expect(findingsOf(VALID.replace('ws:', 'wss:'))[0]).to.match(
      /^4:30 the advertised URL uses TLS/,
    );
  });
});
