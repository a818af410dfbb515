/**
 * Stand-in for the platform's metadata store: serves items, ranges, watches, transactions and leases over
 * the store's published protocol, and injects the faults that the platform documents.
 */
import { z } from 'zod';
import { createFaultInjector } from '../faults.js';
import type { FaultInjector } from '../faults.js';
import { dropConnection, HANDLED, listen, parseJson } from '../http.js';
import type { HandlerResult, Call, Listener, Route } from '../http.js';
import { createItemStore } from './item-store.js';
import type { ItemStore } from './item-store.js';

const MAX_RANGE_ITEMS = 500;
const MAX_WAIT_MS = 30_000;
const MAX_TRANSACTION_ENTRIES = 32;

const transactionSchema = z.object({
  precondition: z.array(z.object({ key: z.string(), revision: z.number() })),
  'set-keys': z.array(
    z.object({ key: z.string(), value: z.string(), lease: z.number().default(0) }),
  ),
  remove: z.array(z.string()).default([]),
});

export interface StoreStandIn extends Listener {
  /** `ip:port`. */
  readonly address: string;
  readonly items: ItemStore;
  readonly faultInjector: FaultInjector;
  /** Applies the next `count` transactions, at once or after `delayMs`, without responding to them. */
  dropTransactionResponses(count: number, delayMs?: number): void;
  /** While set, listings and watches of exactly this prefix get no response; all other calls are served. */
  silentPrefix: string | undefined;
  /** While set, watches get no response; all other calls are served. */
  silentWatches: boolean;
  /** While set, watches respond after their wait, at the present revision and without the changes that were made. */
  emptyWatches: boolean;
  /** While set, transactions are refused with 503; all other calls are served. */
  rejectsTransactions: boolean;
  /** Number of transactions that were applied. */
  readonly committed: number;
}

export async function startStore(): Promise<StoreStandIn> {
  const items = createItemStore();
  const faultInjector = createFaultInjector();
  const responseLoss = { left: 0, delayMs: 0 };
  const state = {
    silentPrefix: undefined as string | undefined,
    silentWatches: false,
    emptyWatches: false,
    rejectsTransactions: false,
  };
  let committed = 0;

  const watchedItems: ItemStore = {
    ...items,
    get revision() {
      return items.revision;
    },
    eventsAfter: (...range) => (state.emptyWatches ? [] : items.eventsAfter(...range)),
  };

  const isSilent = ({ query }: Call) => query.get('prefix') === state.silentPrefix;

  function transact(call: Call): HandlerResult {
    if (state.rejectsTransactions) return { status: 503, body: { error: 'rejected' } };
    const body = parseJson(call, transactionSchema);
    const entries = body.precondition.length + body['set-keys'].length + body.remove.length;
    if (entries > MAX_TRANSACTION_ENTRIES)
      return { status: 400, body: { error: 'too many entries' } };
    const execute = (): HandlerResult => {
      const conflicting = body.precondition.some(
        ({ key, revision }) => (items.get(key)?.revision ?? 0) !== revision,
      );
      if (conflicting) {
        const found = body.precondition.flatMap(({ key }) => items.get(key) ?? []);
        return { status: 412, body: { items: found } };
      }
      const ended = body['set-keys'].some(({ lease }) => lease !== 0 && !items.hasLease(lease));
      if (ended) return { status: 404, body: {} };
      committed += 1;
      return { status: 200, body: { revision: items.apply(body['set-keys'], body.remove) } };
    };
    if (responseLoss.left === 0) return execute();
    responseLoss.left -= 1;
    if (responseLoss.delayMs === 0) execute();
    else setTimeout(execute, responseLoss.delayMs).unref();
    return dropConnection(call);
  }

  const routes: readonly Route[] = [
    { method: 'GET', path: '/kv-key', handle: (call) => readKey(items, call) },
    {
      method: 'GET',
      path: '/kv-range',
      handle: (call) => (isSilent(call) ? HANDLED : readRange(items, call)),
    },
    {
      method: 'GET',
      path: '/kv-watch',
      handle: async (call) => {
        const answer = await watch(watchedItems, faultInjector, call);
        return state.silentWatches || isSilent(call) ? HANDLED : answer;
      },
    },
    { method: 'POST', path: '/kv-txn', handle: transact },
    {
      method: 'POST',
      path: '/kv-lease',
      handle: (call) => {
        const { 'ttl-ms': lifetimeMs } = parseJson(call, z.object({ 'ttl-ms': z.number() }));
        return { status: 200, body: { lease: items.grant(lifetimeMs), 'ttl-ms': lifetimeMs } };
      },
    },
    {
      method: 'POST',
      path: '/kv-keep/:lease',
      handle: ({ parameters }) => ({
        status: items.renewLease(Number(parameters.lease)) ? 200 : 404,
        body: {},
      }),
    },
    {
      method: 'DELETE',
      path: '/kv-lease-end/:lease',
      handle: ({ parameters }) => ({
        status: items.end(Number(parameters.lease)) ? 200 : 404,
        body: {},
      }),
    },
  ];
  const listener = await listen({ routes: faultInjector.wrapRoutes(routes) });
  return {
    url: listener.url,
    address: new URL(listener.url).host,
    items,
    faultInjector,
    dropTransactionResponses: (count, delayMs = 0) => {
      responseLoss.left = count;
      responseLoss.delayMs = delayMs;
    },
    get silentPrefix() {
      return state.silentPrefix;
    },
    set silentPrefix(prefix) {
      state.silentPrefix = prefix;
    },
    get silentWatches() {
      return state.silentWatches;
    },
    set silentWatches(value) {
      state.silentWatches = value;
    },
    get emptyWatches() {
      return state.emptyWatches;
    },
    set emptyWatches(value) {
      state.emptyWatches = value;
    },
    get rejectsTransactions() {
      return state.rejectsTransactions;
    },
    set rejectsTransactions(value) {
      state.rejectsTransactions = value;
    },
    get committed() {
      return committed;
    },
    close: async () => {
      items.close();
      await listener.close();
    },
  };
}

function readKey(items: ItemStore, { query }: Call): HandlerResult {
  const item = items.get(query.get('key') ?? '');
  const at = { 'store-revision': items.revision };
  return item === undefined ? { status: 404, body: at } : { status: 200, body: { ...item, ...at } };
}

function readRange(items: ItemStore, { query }: Call): HandlerResult {
  const found = items.list(
    query.get('prefix') ?? '',
    query.get('after') ?? '',
    MAX_RANGE_ITEMS + 1,
  );
  return {
    status: 200,
    body: {
      items: found.slice(0, MAX_RANGE_ITEMS),
      'has-more': found.length > MAX_RANGE_ITEMS,
      'store-revision': items.revision,
    },
  };
}

/** Responds at the first change under the prefix or after the wait, or with 410 if the revision was compacted. */
function watch(items: ItemStore, faultInjector: FaultInjector, call: Call): Promise<HandlerResult> {
  const prefix = call.query.get('prefix') ?? '';
  const after = Number(call.query.get('after'));
  const waitMs = Math.min(MAX_WAIT_MS, Number(call.query.get('wait-ms')));
  return new Promise((resolve) => {
    const finish = (answer: HandlerResult) => {
      clearTimeout(timer);
      unsubscribe();
      resolve(faultInjector.check(call) ?? answer);
    };
    const checkEvents = (isLast: boolean) => {
      const events = items.eventsAfter(prefix, after);
      if (events === undefined) finish({ status: 410, body: {} });
      else if (events.length > 0 || isLast) {
        finish({ status: 200, body: { events, 'store-revision': items.revision } });
      }
    };
    const unsubscribe = items.subscribe(() => {
      checkEvents(false);
    });
    const timer = setTimeout(() => {
      checkEvents(true);
    }, waitMs);
    call.response.once('close', () => {
      finish(HANDLED);
    });
    checkEvents(false);
  });
}
