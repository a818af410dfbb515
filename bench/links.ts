/**
 * Measures the cost of a link: bytes and processor time per heartbeat and per request, as a function of the number
 * of peers and teams. All hosts run in this process on loopback, so the processor time covers sending and receiving
 * one heartbeat, which is the work of each host per link and period. Bytes are WebSocket bytes without TCP and IP
 * headers.
 *
 * Usage: node dist/bench/links.js [--json]
 */
import { randomBytes } from 'node:crypto';
import type { Heartbeat, LoadSummary } from '../src/hosts/index.js';
import { createLinks, type Links } from '../src/links/index.js';
import { SILENT_LOG } from '../src/log/index.js';
import type { Host } from '../src/model/index.js';

const PEER_COUNTS = [1, 2, 4, 8, 16];
const TEAM_COUNTS = [0, 10, 37, 74];
/** Messages of each kind per row and repetition. */
const MESSAGES = 1600;
const WARM_UP_MESSAGES = 400;
/** The median repetition is reported, because other load on the machine affects processor time. */
const REPETITIONS = 5;
const REQUEST_BYTES = 1024;
const REPLY_BYTES = 1024;

interface BenchMessages {
  heartbeat: { body: Heartbeat; reply: undefined };
  forward: { body: Uint8Array; reply: Uint8Array };
}

interface MessageCost {
  readonly bytes: number;
  readonly micros: number;
}

interface Row {
  readonly peers: number;
  readonly teams: number;
  readonly heartbeat: MessageCost;
  readonly request: MessageCost;
}

interface Mesh {
  readonly hub: Links<BenchMessages>;
  readonly peers: readonly string[];
  /** Resolves when the peers have received `count` more heartbeats in total. */
  readonly received: (count: number) => Promise<void>;
  readonly close: () => Promise<void>;
}

async function main(): Promise<void> {
  const rows: Row[] = [];
  await warmUp();
  for (const peers of PEER_COUNTS) {
    const mesh = await startMesh(peers);
    for (const teams of TEAM_COUNTS) rows.push(await measureRow(mesh, teams));
    await mesh.close();
  }
  const slopes = computeSlopes(rows);
  if (process.argv.includes('--json')) {
    console.log(JSON.stringify({ node: process.version, messages: MESSAGES, rows, slopes }));
  } else {
    printTable(rows, slopes);
  }
}

/** Lets the compiler optimize the code before the first row is measured. */
async function warmUp(): Promise<void> {
  const mesh = await startMesh(2);
  for (const teams of TEAM_COUNTS) await measureRow(mesh, teams);
  await mesh.close();
}

async function startMesh(count: number): Promise<Mesh> {
  let heartbeats = 0;
  let notify = () => undefined as unknown;
  const reply = randomBytes(REPLY_BYTES);
  const start = async (id: string) => {
    const host = createHost(id, 0);
    const listen = { address: '127.0.0.1', port: 0 };
    const onChange = () => notify();
    const options = {
      host,
      bootId: `${id}-boot`,
      secret: 'bench',
      listen,
      log: SILENT_LOG,
      onChange,
    };
    const links = await createLinks<BenchMessages>(options);
    links.handle('heartbeat', () => {
      heartbeats += 1;
      notify();
      return undefined;
    });
    links.handle('forward', () => reply);
    return { links, host: createHost(id, links.port) };
  };
  const waitUntil = async (done: () => boolean) => {
    while (!done())
      await new Promise<unknown>(
        (resolve) =>
          (notify = () => {
            resolve(undefined);
          }),
      );
  };
  const hub = await start('hub');
  const peers = await Promise.all(
    Array.from({ length: count }, (_, index) => start(`peer-${String(index)}`)),
  );
  hub.links.setPeers(peers.map((peer) => peer.host));
  await waitUntil(() => hub.links.connectedHosts().length === count);
  return {
    hub: hub.links,
    peers: peers.map((peer) => peer.host.id),
    received: async (expected) => {
      const target = heartbeats + expected;
      await waitUntil(() => heartbeats >= target);
    },
    close: async () => {
      await Promise.all([hub, ...peers].map(({ links }) => links.close()));
    },
  };
}

async function measureRow(mesh: Mesh, teams: number): Promise<Row> {
  const heartbeat = createHeartbeat(teams);
  const input = randomBytes(REQUEST_BYTES);
  const sendHeartbeats = async () => {
    const received = mesh.received(mesh.peers.length);
    for (const peer of mesh.peers) mesh.hub.notify(peer, 'heartbeat', heartbeat);
    await received;
  };
  const forward = async () => {
    const results = await Promise.all(
      mesh.peers.map((peer) => mesh.hub.request(peer, 'forward', input)),
    );
    for (const result of results) if (result.isErr()) throw new Error(result.error.detail);
  };
  return {
    peers: mesh.peers.length,
    teams,
    heartbeat: await measure(mesh, sendHeartbeats),
    request: await measure(mesh, forward),
  };
}

/** Runs rounds with one message per peer and returns the cost of one message. */
async function measure(mesh: Mesh, round: () => Promise<void>): Promise<MessageCost> {
  const warmUpRounds = Math.ceil(WARM_UP_MESSAGES / mesh.peers.length);
  for (let index = 0; index < warmUpRounds; index += 1) await round();
  const costs: MessageCost[] = [];
  for (let index = 0; index < REPETITIONS; index += 1) costs.push(await measureOnce(mesh, round));
  costs.sort((left, right) => left.micros - right.micros);
  const median = costs[Math.floor(REPETITIONS / 2)];
  if (median === undefined) throw new Error('at least one repetition is needed');
  return median;
}

async function measureOnce(mesh: Mesh, round: () => Promise<void>): Promise<MessageCost> {
  const rounds = Math.ceil(MESSAGES / mesh.peers.length);
  const traffic = mesh.hub.traffic();
  const processor = process.cpuUsage();
  for (let index = 0; index < rounds; index += 1) await round();
  const { user, system } = process.cpuUsage(processor);
  const after = mesh.hub.traffic();
  const bytes = after.sentBytes - traffic.sentBytes + after.receivedBytes - traffic.receivedBytes;
  const messages = rounds * mesh.peers.length;
  return { bytes: bytes / messages, micros: (user + system) / messages };
}

function createHost(id: string, port: number): Host {
  const linkUrl = `ws://127.0.0.1:${String(port)}`;
  return { id, dataCentre: 'dc1', url: 'http://127.0.0.1:1', linkUrl, state: 'live' };
}

function createHeartbeat(teams: number): Heartbeat {
  const use = (index: number) => ({
    processors: index * 1.5,
    memoryMb: index * 512,
    accelerators: index % 4,
  });
  const load: LoadSummary = {
    freeSlots: 240,
    free: use(400),
    largestFree: use(16),
    capacity: use(900),
    queued: { interactive: 3, batch: 120, gang: 4, service: 0 },
    waitMs: 12,
    teams: Object.fromEntries(
      Array.from({ length: teams }, (_, index) => [
        `team-${String(index).padStart(3, '0')}`,
        { running: index * 3, used: use(index * 3), spare: index % 9 },
      ]),
    ),
  };
  const identity = { host: 'hub', dataCentre: 'dc1', bootId: 'hub-boot', state: 'live' } as const;
  return { ...identity, revision: 1900, storeContactAgeMs: 812, storeReachable: true, load };
}

interface Fit {
  readonly base: number;
  readonly perTeam: number;
}

interface Slopes {
  readonly heartbeatBytes: Fit;
  readonly heartbeatMicros: Fit;
  /** Means over all rows; a request carries no teams. */
  readonly requestBytes: number;
  readonly requestMicros: number;
  /** Change of the time per message with each additional peer; near zero if links are independent. */
  readonly heartbeatMicrosPerPeer: number;
  readonly requestMicrosPerPeer: number;
}

function computeSlopes(rows: readonly Row[]): Slopes {
  const teams = rows.map((row) => row.teams);
  const peers = rows.map((row) => row.peers);
  const fitTeams = (values: readonly number[]): Fit => {
    const { base, slope } = fitLine(teams, values);
    return { base, perTeam: slope };
  };
  const heartbeatMicros = rows.map((row) => row.heartbeat.micros);
  const requestMicros = rows.map((row) => row.request.micros);
  return {
    heartbeatBytes: fitTeams(rows.map((row) => row.heartbeat.bytes)),
    heartbeatMicros: fitTeams(heartbeatMicros),
    requestBytes: mean(rows.map((row) => row.request.bytes)),
    requestMicros: mean(requestMicros),
    heartbeatMicrosPerPeer: fitLine(peers, heartbeatMicros).slope,
    requestMicrosPerPeer: fitLine(peers, requestMicros).slope,
  };
}

/** Fits a least-squares line. */
function fitLine(xs: readonly number[], ys: readonly number[]) {
  const meanX = mean(xs);
  const meanY = mean(ys);
  const covariance = mean(xs.map((x, index) => (x - meanX) * ((ys[index] ?? 0) - meanY)));
  const slope = covariance / mean(xs.map((x) => (x - meanX) ** 2));
  return { base: meanY - slope * meanX, slope };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function printTable(rows: readonly Row[], slopes: Slopes): void {
  const format = (cells: readonly string[]) => cells.map((cell) => cell.padStart(12)).join('');
  console.log(format(['peers', 'teams', 'beat bytes', 'beat us', 'request b', 'request us']));
  for (const { peers, teams, heartbeat, request } of rows) {
    const costs = [heartbeat.bytes, heartbeat.micros, request.bytes, request.micros];
    const cells = [String(peers), String(teams), ...costs.map((cost) => cost.toFixed(1))];
    console.log(format(cells));
  }
  const { heartbeatBytes, heartbeatMicros } = slopes;
  const describeFit = (fit: Fit) => `${fit.base.toFixed(1)} + ${fit.perTeam.toFixed(2)} * teams`;
  console.log(`heartbeat bytes = ${describeFit(heartbeatBytes)}`);
  console.log(`heartbeat us = ${describeFit(heartbeatMicros)}`);
  console.log(`heartbeat us per further peer: ${slopes.heartbeatMicrosPerPeer.toFixed(2)}`);
  console.log(`request us per further peer: ${slopes.requestMicrosPerPeer.toFixed(2)}`);
}

await main();
