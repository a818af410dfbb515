/**
 * Simulates hosts with homes on a network whose messages the test delivers or loses one by one. Hosts can
 * crash, pause and claim the one bucket in use at any time.
 */
import {
  BUCKETS,
  bucketOf,
  createRequestIdHomes,
  type RequestIdHomes,
  type RequestIdHomesOptions,
} from '../../src/requests/index.js';

export const TEAM = 'clubs';
export const MAX_ID_AGE_MS = 20_000;
export const SKEW_MS = 1000;
const SUSPECT_AFTER_MS = 5000;
/** A host considers its own view stale before its peers suspect it. */
const DISTRUST_AFTER_MS = 4000;
const ID_TAIL_DIGITS = 12;

const AWAKE = { pausedAt: undefined, hears: true };

/** Makes the n-th id of bucket 0 that was generated at a time. */
export function makeId(mintedAt: number, n: number): string {
  const time = mintedAt.toString(16).padStart(12, '0');
  let id = '';
  for (let tail = n * BUCKETS * BUCKETS; id === '' || bucketOf(TEAM, id) !== 0; tail += 1) {
    const digits = tail.toString(16).padStart(ID_TAIL_DIGITS, '0');
    id = `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${digits}`;
  }
  return id;
}

export interface Node {
  readonly name: string;
  homes: RequestIdHomes;
  boot: number;
  pausedAt: number | undefined;
  /** Whether it receives messages of its peers; false for a while after a long pause. */
  hears: boolean;
  /** Epoch of the bucket as last read. */
  knownEpoch: number | undefined;
}

/** A message in transit; `deliver` returns false if the receiver is paused. */
interface Message {
  readonly deliver: () => boolean;
  readonly lose: () => boolean;
}

export function createNetwork(names: readonly string[]) {
  const network = {
    now: 1_000_000_000,
    storeUp: true,
    claim: { host: '', boot: 0, epoch: 0 },
    records: new Set<string>(),
    messages: [] as Message[],
    nodes: [] as Node[],
    isSuspected: (node: Node) =>
      node.pausedAt !== undefined && network.now - node.pausedAt >= SUSPECT_AFTER_MS,
    /** Delivers or loses one of the messages in transit. */
    move: (action: 'deliver' | 'lose', pick: number): boolean => {
      const message = network.messages[pick % network.messages.length];
      const isGone = message?.[action]() === true;
      if (isGone) network.messages = network.messages.filter((other) => other !== message);
      return isGone;
    },
    /** Delivers all messages that can be delivered, and then their replies. */
    moveAll: () => {
      for (let round = 0; round < 2; round += 1) {
        const waiting = network.messages.splice(0);
        const stuck = waiting.filter((message) => !message.deliver());
        network.messages = [...stuck, ...network.messages];
      }
    },
    /** Sends a caller's request to a host. */
    post: (node: Node, handle: () => void) => {
      const { boot } = node;
      const deliver = () => {
        if (node.pausedAt === undefined && node.boot === boot) handle();
        return node.pausedAt === undefined;
      };
      network.messages.push({ deliver, lose: () => true });
    },
    crash: (node: Node): Node => {
      const boot = node.boot + 1;
      const homes = createRequestIdHomes(optionsOf(node));
      return Object.assign(node, { boot, homes, ...AWAKE, knownEpoch: undefined });
    },
    resume: (node: Node): Node => {
      const silentFor = network.now - (node.pausedAt ?? network.now);
      node.pausedAt = undefined;
      if (silentFor < DISTRUST_AFTER_MS) return node;
      return Object.assign(node, { hears: false, knownEpoch: undefined });
    },
    readClaims: (node: Node): unknown =>
      network.storeUp && node.hears && (node.knownEpoch = network.claim.epoch),
    /** Claims the bucket and takes it over; resolves to whether the host serves it. */
    takeOver: async (node: Node): Promise<boolean> => {
      if (!network.storeUp || !node.hears) return false;
      network.claim = { host: node.name, boot: node.boot, epoch: network.claim.epoch + 1 };
      network.readClaims(node);
      return network.retryTakeOver();
    },
    /** Continues the takeover of the claim's owner, unless the owner has crashed since. */
    retryTakeOver: async (): Promise<boolean> => {
      const { host, boot, epoch } = network.claim;
      const node = network.nodes.find((other) => other.name === host && other.boot === boot);
      if (node === undefined || node.pausedAt !== undefined) return false;
      const taken = node.homes.takeOver(0, epoch).then(() => true);
      return taken.catch(() => false);
    },
  };

  /** Calls a receiver; undefined if the request or the reply was lost or the receiver crashed. */
  function call<T>(from: Node, to: Node | undefined, handle: () => T): Promise<T | undefined> {
    const fromBoot = from.boot;
    const toBoot = to?.boot;
    return new Promise((resolve) => {
      const reply = (value: T | undefined): Message => {
        const answer = (received: T | undefined) => {
          if (from.pausedAt !== undefined) return false;
          if (from.boot === fromBoot) resolve(received);
          return true;
        };
        return { deliver: () => answer(value), lose: () => answer(undefined) };
      };
      network.messages.push({
        deliver: () => {
          if (to?.pausedAt !== undefined) return false;
          network.messages.push(reply(to?.boot === toBoot ? handle() : undefined));
          return true;
        },
        // The caller times out, but the request may still arrive.
        lose: () => reply(undefined).deliver() && false,
      });
    });
  }

  function callStore<T>(from: Node, handle: () => T): Promise<T | undefined> {
    return call(from, undefined, () => (network.storeUp ? handle() : undefined));
  }

  function optionsOf(node: Node): RequestIdHomesOptions {
    const find = (name: string) => network.nodes.find((other) => other.name === name);
    return {
      host: node.name,
      now: () => network.now,
      maxIdAgeMs: MAX_ID_AGE_MS,
      maxClockSkewMs: SKEW_MS,
      copyBatchDelayMs: 0,
      copyHosts: () =>
        network.nodes
          .filter((other) => other !== node && node.hears && !network.isSuspected(other))
          .map((other) => other.name),
      sendRemember: (host, message) =>
        call(node, find(host), () => find(host)?.homes.remember(message)),
      sendFence: (host, message) => call(node, find(host), () => find(host)?.homes.fence(message)),
      createRecord: async (team, id) => {
        const create = () => {
          const isNew = !network.records.has(`${team}/${id}`);
          network.records.add(`${team}/${id}`);
          return isNew ? 'created' : 'exists';
        };
        return (await callStore(node, create)) ?? 'unavailable';
      },
      confirmOwner: async (_bucket, epoch) => {
        const confirm = () => network.claim.host === node.name && network.claim.epoch === epoch;
        const isOwner = await callStore(node, confirm);
        if (isOwner === undefined) return 'unavailable';
        return isOwner ? 'owner' : 'fenced';
      },
      epochOf: () => node.knownEpoch,
      isOnlyHost: () => names.length === 1,
    };
  }

  for (const name of names) {
    const node = { name, boot: 0, ...AWAKE, knownEpoch: 0 };
    network.nodes.push(network.crash(node as unknown as Node));
  }
  for (const node of network.nodes) node.knownEpoch = 0;
  return network;
}

export type Network = ReturnType<typeof createNetwork>;

/** Runs all continuations that do not wait for a message. */
export function runPending(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
