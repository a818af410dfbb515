/**
 * Decoding of the platform's settings, configuration, jobs and workers, with invalid input.
 */
import { expect } from 'chai';
import { decodeConfiguration } from '../../platform/decode-configuration.js';
import { decodeJob } from '../../platform/decode-job.js';
import { decodeWorker } from '../../platform/decode-worker.js';
import { parseSettings } from '../../platform/settings.js';

const ENTRY = {
  service: 'rota',
  address: '10.0.0.9:8080',
  zone: 'zapopan',
  state: 'ready',
  'free-capacity': { cpu: 16_000, 'mem-mb': 32_768, gpu: 0 },
  labels: ['a', 'r1-3'],
  born: 1_790_000_000_000,
};

const SETTINGS = `
node-name = "frontend-zapopan-1"
zone = "zapopan"
ip = "10.1.0.17"
port-range = [7420,7435]
orders = "rpc"
advice = "10.200.1.9:8182"
unknown-field = 1
[listen-addresses]
frontend = "10.1.0.17:8183"
readiness = "10.1.0.17:8184"
[limits]
cpu-share = 0.675
cores = 2
[bounds]
grace-s = 6
drain-ms = 3000
cancel_ms = 4000
config-apply-ms = 2500
[platform]
address = "10.200.1.7:8182"
form = "kv"
ttl-min-ms = 1500
`;

describe('decoding of platform data', () => {
  describe('workers', () => {
    it('translates resources, rack and incarnation', () => {
      expect(decodeWorker('servers/i-1', JSON.stringify(ENTRY))).to.deep.include({
        incarnation: { id: 'i-1', born: 1_790_000_000_000 },
        dataCentre: 'zapopan',
        rack: 'r1-3',
        room: { processors: 16, memoryMb: 32_768, accelerators: 0 },
      });
    });

    // Guards against a worker that is lost to the cell because of a field that only a preference rests on.
    const cold: readonly [unknown, number | undefined][] = [
      [undefined, undefined],
      [0, 0],
      [2500, 2500],
      [-1, undefined],
      ['long', undefined],
    ];
    for (const [value, expected] of cold) {
      it(`are cold for ${String(expected)} ms with ${String(value)} in their entry`, () => {
        const text = JSON.stringify({ ...ENTRY, 'cold-remaining-ms': value });
        expect(decodeWorker('servers/i-1', text)?.coldRemainingMs).to.equal(expected);
        expect(decodeWorker('servers/i-1', text)?.state).to.equal('ready');
      });
    }

    const broken: readonly [string, string][] = [
      ['bytes that are not valid JSON', '\u0000\u0001'],
      ['a missing address', JSON.stringify({ ...ENTRY, address: undefined })],
      ['an unknown state', JSON.stringify({ ...ENTRY, state: 'sleeping' })],
      ['resources of another type', JSON.stringify({ ...ENTRY, 'free-capacity': 'much' })],
      ['a missing start time', JSON.stringify({ ...ENTRY, born: undefined })],
      // The client of a worker with such an address threw, which ended the leader's view of all workers.
      ...[
        '300.0.0.1:9100',
        '10..0.9:80',
        '.:80',
        '9:80',
        '10.0.0.9:0',
        '10.0.0.9:65536',
        '[::1]:80',
      ].map((address): [string, string] => [
        `the address ${address}`,
        JSON.stringify({ ...ENTRY, address }),
      ]),
      ...[-1, 1.5, 2 ** 53, 1e300].map((born): [string, string] => [
        `the start time ${String(born)}`,
        JSON.stringify({ ...ENTRY, born }),
      ]),
      ['a number beyond all bounds', JSON.stringify(ENTRY).replace('16000', '1e400')],
      ...[-5, 1e300].map((cpu): [string, string] => [
        `${String(cpu)} processors`,
        JSON.stringify({ ...ENTRY, 'free-capacity': { cpu } }),
      ]),
      ['a million labels', JSON.stringify({ ...ENTRY, labels: Array(1_000_000).fill('a') })],
      [
        'nesting 100,000 deep',
        JSON.stringify(ENTRY).replace('"a"', '['.repeat(100_000) + ']'.repeat(100_000)),
      ],
      ['no value', ''],
    ];
    for (const [what, text] of broken) {
      it(`ignores an entry with ${what}`, () => {
        expect(decodeWorker('servers/i-1', text)).to.equal(undefined);
      });
    }

    // The id is sent in a header with each order, and a client refuses a header with such a value.
    for (const id of ['', 'a/b', 'a b', 'a\n', '\u0001', 'ñ']) {
      it(`ignores an entry under the id ${JSON.stringify(id)}`, () => {
        expect(decodeWorker(`servers/${id}`, JSON.stringify(ENTRY))).to.equal(undefined);
      });
    }
  });

  describe('jobs', () => {
    it('counts processors in whole cores and omits empty fields', () => {
      const body = { spec: 's', steps: [{ count: 2, cpu: 500, 'mem-mb': 256, after: [] }] };
      const work = decodeJob(JSON.stringify(body))._unsafeUnwrap();
      expect(work.steps[0]?.size).to.deep.equal({
        processors: 0.5,
        memoryMb: 256,
        accelerators: 0,
      });
      expect(work.steps[0]).to.not.have.property('maxPerWorker');
    });

    it('lists all findings with their paths', () => {
      const body = { steps: [{ count: 0 }, { count: 1, cpu: 'much' }] };
      const findings = decodeJob(JSON.stringify(body))._unsafeUnwrapErr();
      expect(findings.map((finding) => finding.split(':')[0])).to.deep.equal([
        'steps.0.count',
        'steps.1.cpu',
      ]);
    });

    it('lists a bounded number of findings, however many values are wrong', () => {
      const wrongSteps = { steps: Array.from({ length: 5000 }, () => ({ after: ['a'], cpu: -1 })) };
      expect(decodeJob(JSON.stringify(wrongSteps))._unsafeUnwrapErr()).to.have.length(10);
      const wrongNumbers = { steps: [{ count: 1, after: Array.from({ length: 5000 }, () => -1) }] };
      expect(decodeJob(JSON.stringify(wrongNumbers))._unsafeUnwrapErr()).to.deep.equal([
        'steps.0.after: expected a list of numbers of steps',
      ]);
    });

    it('refuses a step that depends on itself', () => {
      const body = { steps: [{ count: 1, after: [0] }] };
      expect(decodeJob(JSON.stringify(body)).isErr()).to.equal(true);
    });
  });

  describe('settings', () => {
    it('are translated, and unknown fields are ignored', () => {
      expect(parseSettings(SETTINGS)._unsafeUnwrap()).to.deep.include({
        host: 'frontend-zapopan-1',
        dataCentre: 'zapopan',
        callerAddress: { ip: '10.1.0.17', port: 8183 },
        storeAddress: '10.200.1.7:8182',
        graceMs: 6000,
        drainMs: 3000,
        cancelMs: 4000,
        configurationApplyMs: 2500,
        processors: 1.35,
        minLeaseMs: 1500,
      });
    });

    // Without the factor no work may wait for its data rack.
    it('give the factor of work away from its place only if they name it', () => {
      const withFactor = (factor: string) =>
        parseSettings(SETTINGS.replace('[bounds]', `[bounds]\nremote-factor = ${factor}`));
      expect(parseSettings(SETTINGS)._unsafeUnwrap().remoteFactor).to.equal(undefined);
      expect(withFactor('1.5')._unsafeUnwrap().remoteFactor).to.equal(1.5);
      expect(withFactor('0.5')._unsafeUnwrapErr()).to.have.length(1);
    });

    it('report all findings together', () => {
      const text = SETTINGS.replace('"10.200.1.7:8182"', '"store"')
        .replace('"rpc"', '"heartbeat"')
        .replace('zone = "zapopan"', '');
      const findings = parseSettings(text)._unsafeUnwrapErr();
      expect(findings.map(({ place }) => place)).to.have.members([
        'zone',
        'orders',
        'platform.address',
      ]);
    });

    // Without the bound, the deployment evacuates nothing and its hosts make no calls for it.
    it('have no evacuations unless a bound for them is set, in whole milliseconds', () => {
      const withBound = (bound: string) =>
        parseSettings(SETTINGS.replace('[bounds]', `[bounds]\nevacuate-ms = ${bound}`));
      expect(parseSettings(SETTINGS)._unsafeUnwrap().evacuateMs).to.equal(undefined);
      expect(withBound('5000')._unsafeUnwrap().evacuateMs).to.equal(5000);
      const [finding] = withBound('0.5')._unsafeUnwrapErr();
      expect(finding?.place).to.equal('bounds.evacuate-ms');
    });

    it('name line and column of invalid TOML', () => {
      const [finding] = parseSettings('a = ')._unsafeUnwrapErr();
      expect(finding?.place).to.match(/^line 1, column \d+$/);
    });
  });

  describe('configuration', () => {
    it('is rejected if the text is invalid', () => {
      expect(decodeConfiguration('{')).to.equal(undefined);
      expect(decodeConfiguration('{"routes":[]}')).to.equal(undefined);
    });

    // Guards against a host that stays at the version before because of the form of one field.
    it('takes null and a field that is left out for one without a value', () => {
      const route = { name: 'r', host: 'h', prefix: '/p/', service: 's' };
      const routes = [
        { ...route, advice: null, stretch: null },
        { ...route, advice: { 'decide-ms': 10, 'valid-ms': 2500 } },
      ];
      const tenants = [{ name: 't', 'api-keys': null, cap: { cpu: 1000, gpu: null } }];
      const decoded = decodeConfiguration(
        JSON.stringify({ version: 2, routes, tenants, limits: null }),
      );
      expect(decoded?.queues[0]).to.include({ stretch: 1 }).and.not.have.property('advice');
      expect(decoded?.queues[1]?.advice).to.deep.equal({
        decideMs: 10,
        perWorkerMs: 0,
        validMs: 2500,
      });
      expect(decoded?.teams[0]?.limit.processors).to.equal(1);
    });
  });
});
