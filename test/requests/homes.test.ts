import { expect } from 'chai';
import fc from 'fast-check';
import { refuse, type Outcome } from '../../src/model/index.js';
import { BUCKETS, locateHome, type Admission } from '../../src/requests/index.js';
import {
  MAX_ID_AGE_MS,
  SKEW_MS,
  TEAM,
  createNetwork,
  makeId,
  runPending,
  type Network,
  type Node,
} from './home-network.js';

function doneWith(text: string): Outcome {
  const body = Buffer.from(text);
  return { kind: 'done', status: 200, contentType: 'text/plain', body, worker: 'w' };
}

/** Delivers all messages in a few rounds, then waits for the promise. */
async function deliverAll<T>(network: Network, promise: Promise<T>): Promise<T> {
  for (let round = 0; round < 4; round += 1) {
    await runPending();
    network.moveAll();
  }
  return promise;
}

/** Starts hosts, three by default, of which the first has served the bucket for longer than the clock skew. */
async function startNetwork(names: readonly string[] = ['a', 'b', 'c']) {
  const network = createNetwork(names);
  const nodes = network.nodes as [Node, Node, Node];
  await deliverAll(network, network.takeOver(nodes[0]));
  network.now += SKEW_MS + 1;
  const admit = async (node: Node, id: string, digest = 'd'): Promise<string> =>
    kindOf(await deliverAll(network, node.homes.admit(TEAM, id, digest)));
  return { network, nodes, admit };
}

function kindOf(admission: Admission): string {
  if (admission === 'run') return 'run';
  return admission.kind === 'refused' ? admission.reason : admission.kind;
}

describe('createRequestIdHomes', () => {
  it('answers repeats with the same outcome while the request is in flight and after it ended', async () => {
    const { network, nodes, admit } = await startNetwork();
    const id = makeId(network.now, 1);
    const racing = await deliverAll(
      network,
      Promise.all([nodes[0].homes.admit(TEAM, id, 'd'), nodes[0].homes.admit(TEAM, id, 'd')]),
    );
    expect(racing.map(kindOf)).to.deep.equal(['run', 'repeat']);
    nodes[0].homes.complete(TEAM, id, doneWith('first'));
    for (const repeat of [racing[1], await nodes[0].homes.admit(TEAM, id, 'd')]) {
      if (repeat === 'run' || repeat.kind !== 'repeat') throw new Error('expected a repeat');
      expect(await repeat.outcome).to.deep.equal(doneWith('first'));
    }
    expect(await admit(nodes[0], id, 'other')).to.equal('id-conflict');
  });

  const takeovers: [name: string, completes: boolean, copied: boolean, answer: string][] = [
    ['an id that was in flight', false, true, 'unknown'],
    ['an id that had ended', true, true, 'repeat'],
    ['an id that no copy host knows', false, false, 'unknown'],
  ];
  for (const [name, completes, copied, answer] of takeovers) {
    it(`does not run ${name} again after a takeover`, async () => {
      const { network, nodes, admit } = await startNetwork();
      const [a, b, c] = nodes;
      const id = makeId(network.now + SKEW_MS, 1);
      expect(await admit(a, id)).to.equal('run');
      if (completes) {
        a.homes.complete(TEAM, id, doneWith('first'));
        await deliverAll(network, a.homes.flush());
      }
      if (!copied) network.crash(b);
      network.crash(a);
      await deliverAll(network, network.takeOver(c));
      expect(await admit(c, id)).to.equal(answer);
      network.now += SKEW_MS + 1;
      expect(await admit(c, makeId(network.now, 2))).to.equal('run');
    });
  }

  it('admits nothing at a former home that resumes from a pause, with or without contact to a copy host', async () => {
    for (const hears of [true, false]) {
      const { network, nodes, admit } = await startNetwork();
      const [a, b] = nodes;
      a.pausedAt = network.now;
      network.now += 60_000;
      await deliverAll(network, network.takeOver(b));
      network.now += SKEW_MS + 1;
      const id = makeId(network.now, 1);
      expect(await admit(b, id)).to.equal('run');
      network.resume(a);
      a.hears = hears;
      expect(await admit(a, id)).to.equal('unknown');
      a.hears = true;
      expect(await admit(a, makeId(network.now, 2))).to.equal('unknown');
    }
  });

  it('does not serve before every live host has acknowledged the fence', async () => {
    const { network, nodes, admit } = await startNetwork();
    const taking = network.takeOver(nodes[1]);
    await runPending();
    network.move('lose', 0);
    expect(await deliverAll(network, taking)).to.equal(false);
    expect(await admit(nodes[1], makeId(network.now, 1))).to.equal('unknown');
  });

  const alone = [
    { hosts: ['a', 'b'], store: true, answer: 'run' },
    { hosts: ['a', 'b'], store: false, answer: 'unknown' },
    { hosts: ['a'], store: true, answer: 'run' },
    { hosts: ['a'], store: false, answer: 'store-unavailable' },
  ];
  for (const { hosts, store, answer } of alone) {
    const state = store ? 'up' : 'down';
    it(`without a live copy host of ${String(hosts.length)} and with the store ${state} answers ${answer}`, async () => {
      const { network, nodes, admit } = await startNetwork(hosts);
      nodes[0].hears = false;
      network.storeUp = store;
      const id = makeId(network.now, 1);
      expect(await admit(nodes[0], id)).to.equal(answer);
      network.storeUp = true;
      // A refused id did not run, so that the caller may send it again.
      const again = { run: 'repeat', unknown: 'run', 'store-unavailable': 'run' }[answer];
      expect(await admit(nodes[0], id)).to.equal(again);
    });
  }

  it('bounds its memory by the age of ids and never admits an expired id', async () => {
    const { network, nodes, admit } = await startNetwork();
    const id = makeId(network.now, 1);
    await admit(nodes[0], id);
    for (let n = 0; n < 60; n += 1) {
      network.now += 1000;
      await admit(nodes[0], makeId(network.now, n));
    }
    const most = (MAX_ID_AGE_MS + SKEW_MS) / 1000 + 2;
    expect(nodes[0].homes.size()).to.be.at.most(most);
    expect(await admit(nodes[0], id)).to.equal('unknown');
    expect(await admit(nodes[0], makeId(network.now + 2 * SKEW_MS, 1))).to.equal('id-in-future');
  });

  it('stores no copy under a lower epoch than that of the claim', async () => {
    const { nodes } = await startNetwork();
    nodes[1].knownEpoch = 7;
    const message = { bucket: 0, epoch: 1, records: [] };
    expect(nodes[1].homes.remember(message)).to.deep.equal({ kind: 'fenced', epoch: 7 });
    nodes[2].knownEpoch = undefined;
    expect(nodes[2].homes.remember(message)).to.deep.equal({ kind: 'not-ready' });
  });

  it('runs an id at most once and refuses none that ran, under random faults', async function () {
    // 400 runs of the model, which uses no timers, take 6 s of CPU time and longer on a busy machine.
    this.timeout(120_000);
    const kinds = ['crash', 'pause', 'resume', 'claim', 'read', 'hear', 'lose', 'store'] as const;
    const common = ['offer', 'offer', 'repeat', 'complete', 'wait'] as const;
    const event = fc.record({
      kind: fc.oneof(
        { weight: 6, arbitrary: fc.constantFrom('deliver' as const, 'deliver-all' as const) },
        { weight: 16, arbitrary: fc.constantFrom(...common) },
        { weight: 2, arbitrary: fc.constantFrom(...kinds) },
        { weight: 1, arbitrary: fc.constant('fail-over' as const) },
      ),
      node: fc.nat(2),
      pick: fc.nat(40),
    });
    const seen = new Map<string, number>();
    const events = fc.array(event, { minLength: 150, maxLength: 300 });
    const property = fc.asyncProperty(events, async (list) => {
      const { network, nodes } = await startNetwork();
      const model = createModel(network, (kind) => seen.set(kind, (seen.get(kind) ?? 0) + 1));
      for (const { kind, node, pick } of list) {
        void model.act[kind](pick, nodes[node] ?? nodes[0]);
        await runPending();
      }
      expect(model.violations).to.deep.equal([]);
    });
    await fc.assert(property, { seed: 43, numRuns: 400 });
    for (const kind of ['run', 'repeat', 'unknown', 'id-conflict']) {
      expect(seen.get(kind), `the model reaches ${kind}`).to.be.greaterThan(100);
    }
  });
});

/** Model for the property test: its events, and the violations that were observed. */
function createModel(network: Network, count: (kind: string) => void) {
  const ids: string[] = [];
  const ran = new Map<string, { digest: string; outcome?: Outcome; node: Node; boot: number }>();
  const violations: string[] = [];

  async function admit(node: Node, id: string, digest: string): Promise<void> {
    const { boot } = node;
    const admission = await node.homes.admit(TEAM, id, digest);
    if (node.boot !== boot) return;
    count(kindOf(admission));
    if (admission === 'run') {
      if (ran.has(id)) violations.push(`${id} ran twice`);
      ran.set(id, { digest, node, boot });
    } else if (admission.kind === 'refused') {
      if (ran.get(id)?.digest === digest) violations.push(`${id} ran and was refused`);
    } else if (admission.kind === 'repeat') {
      const outcome = await admission.outcome;
      const isOther = outcome.kind === 'done' && outcome !== ran.get(id)?.outcome;
      if (isOther) violations.push(`${id} got another answer`);
    }
  }

  const send = (node: Node, id: string | undefined, digest: string) => {
    if (id !== undefined) network.post(node, () => void admit(node, id, digest));
  };
  const act = {
    deliver: (pick: number) => network.move('deliver', pick),
    'deliver-all': () => {
      void network.retryTakeOver();
      network.moveAll();
    },
    lose: (pick: number) => network.move('lose', pick),
    wait: (pick: number) => (network.now += pick * 100),
    store: (pick: number) => (network.storeUp = pick % 3 !== 0),
    // Sends a new id to every host; paused hosts receive it when they resume.
    offer: (pick: number) => {
      const id = makeId(network.now - 300 + pick * 30, ids.push(''));
      ids[ids.length - 1] = id;
      for (const node of network.nodes) send(node, id, pick % 8 === 0 ? 'd2' : 'd1');
    },
    repeat: (pick: number, node: Node) => {
      send(node, ids[ids.length - 1 - (pick % 4)], pick % 2 === 0 ? 'd2' : 'd1');
    },
    complete: (pick: number) => {
      const open = [...ran].filter(([, { node, boot, outcome }]) => {
        return node.boot === boot && node.pausedAt === undefined && outcome === undefined;
      });
      const [id, run] = open[pick % Math.max(1, open.length)] ?? [];
      if (id === undefined || run === undefined) return;
      run.outcome = pick % 5 === 0 ? refuse('no-capacity', 'full') : doneWith(id);
      run.node.homes.complete(TEAM, id, run.outcome);
    },
    // The home crashes or pauses, its copy host may crash too, and another host takes over.
    'fail-over': (pick: number, node: Node) => {
      for (const other of network.nodes.filter((each) => each !== node)) {
        const isHome = other.name === network.claim.host;
        if (isHome && pick % 2 === 0) other.pausedAt ??= network.now;
        else if (isHome || pick % 3 === 0) network.crash(other);
      }
      network.now += 6000;
      return act.claim(pick, node);
    },
    crash: (_: number, node: Node) => network.crash(node),
    pause: (_: number, node: Node) => (node.pausedAt ??= network.now),
    resume: (_: number, node: Node) => network.resume(node),
    claim: (_: number, node: Node) => node.pausedAt ?? network.takeOver(node),
    read: (_: number, node: Node) => node.pausedAt ?? network.readClaims(node),
    hear: (_: number, node: Node) => (node.hears = true),
  };
  return { act, violations };
}

describe('locateHome', () => {
  it('does not depend on the order of data centres, so that all hosts agree', () => {
    const counts = new Map<string, number>();
    for (let n = 0; n < 900; n += 1) {
      const id = makeId(1_000_000 + n, n);
      const place = locateHome(TEAM, id, ['x', 'y', 'z']);
      expect(locateHome(TEAM, id, ['z', 'x', 'y'])).to.deep.equal(place);
      expect(place.bucket).to.be.within(0, BUCKETS - 1);
      counts.set(place.dataCentre, (counts.get(place.dataCentre) ?? 0) + 1);
      const fewer = locateHome(TEAM, id, ['x', 'y']);
      if (place.dataCentre !== 'z') expect(fewer).to.deep.equal(place);
    }
    expect(Math.min(...counts.values())).to.be.greaterThan(200);
  });
});
