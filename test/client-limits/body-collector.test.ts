/**
 * Guards against bodies that take more memory than the budget: unfinished ones, ones in tiny chunks and ones over the
 * limit; and against charges that are not returned, after which a host would refuse every body.
 */
import { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { expect } from 'chai';
import fc from 'fast-check';
import {
  collectBody,
  createByteBudget,
  createFragmentedBodies,
} from '../../src/client-limits/index.js';

const LIMIT = 300_000;
/** A body is charged in blocks, so it takes up to one of them more than its bytes. */
const BLOCK_BYTES = 65_536;

function receive(announced?: number): IncomingMessage {
  const incoming = new IncomingMessage(new Socket());
  if (announced !== undefined) incoming.headers['content-length'] = String(announced);
  return incoming;
}

describe('the body of a request', () => {
  it('is what was sent, in whatever chunks, and its charge is returned once', async () => {
    const sizes = fc.array(fc.integer({ min: 1, max: 70_000 }), { maxLength: 4 });
    await fc.assert(
      fc.asyncProperty(sizes, fc.boolean(), async (parts, isAnnounced) => {
        const budget = createByteBudget(LIMIT + BLOCK_BYTES);
        const sent = Buffer.concat(parts.map((size, index) => Buffer.alloc(size, index)));
        const incoming = receive(isAnnounced ? sent.byteLength : undefined);
        const body = collectBody(incoming, { maxBytes: LIMIT, budget });
        for (const [index, size] of parts.entries()) incoming.push(Buffer.alloc(size, index));
        incoming.push(null);
        const collected = await body.collected;
        expect(collected.kind).to.equal('complete');
        if (collected.kind === 'complete') {
          expect(Buffer.compare(collected.bytes, sent)).to.equal(0);
        }
        expect(budget.used).to.be.within(sent.byteLength, sent.byteLength + BLOCK_BYTES);
        body.release();
        body.release();
        expect(budget.used).to.equal(0);
      }),
      { examples: [[[56_241, 70_000, 70_000, 70_000], false]] },
    );
  });

  it('costs little more than its bytes in chunks of one byte', async () => {
    const budget = createByteBudget(LIMIT);
    const incoming = receive();
    collectBody(incoming, { maxBytes: LIMIT, budget });
    for (let sent = 0; sent < 5000; sent += 1) incoming.push(Buffer.from('x'));
    await nextTurn();
    expect(budget.used).to.be.within(5000, 4096 + 65_536);
    expect(incoming.readableLength).to.equal(0);
  });

  // 60 bodies in chunks of one byte kept a host from answering for more than 20 s.
  it('ends the connection with too many small chunks, not with as many larger ones', async () => {
    const options = { maxBytes: LIMIT, budget: createByteBudget(LIMIT), maxSmallChunks: 100 };
    const incoming = receive();
    const smaller = collectBody(incoming, options);
    for (let sent = 0; sent < 101; sent += 1) incoming.push(Buffer.alloc(31));
    expect(await smaller.collected).to.deep.equal({ kind: 'fragmented' });
    expect(incoming.destroyed).to.equal(true);
    const allowed = receive();
    const body = collectBody(allowed, options);
    for (let sent = 0; sent < 101; sent += 1) allowed.push(Buffer.alloc(32));
    allowed.push(null);
    expect((await body.collected).kind).to.equal('complete');
  });

  describe('in chunks of one byte within the size limit', () => {
    const options = () => ({
      maxBytes: LIMIT,
      budget: createByteBudget(2 * LIMIT),
      maxSmallChunks: 100,
      fragmentedBodies: createFragmentedBodies({ places: 1, now: () => clock }),
    });
    let clock = 0;

    async function send(incoming: IncomingMessage, chunks: number) {
      for (let sent = 0; sent < chunks; sent += 1) incoming.push(Buffer.from('x'));
      await nextTurn();
    }

    it('is read while no other such body is', async () => {
      const incoming = receive();
      const body = collectBody(incoming, options());
      await send(incoming, 5000);
      incoming.push(null);
      expect((await body.collected).kind).to.equal('complete');
    });

    it('ends its connection while another one is read or has just been', async () => {
      const shared = options();
      const first = receive();
      const body = collectBody(first, shared);
      await send(first, 200);
      const second = receive();
      const refused = collectBody(second, shared);
      await send(second, 200);
      expect((await refused.collected).kind).to.equal('fragmented');
      first.push(null);
      expect((await body.collected).kind).to.equal('complete');
      const third = receive();
      const early = collectBody(third, shared);
      await send(third, 200);
      expect((await early.collected).kind).to.equal('fragmented');
      clock += 3001;
      const fourth = receive();
      const late = collectBody(fourth, shared);
      await send(fourth, 200);
      fourth.push(null);
      expect((await late.collected).kind).to.equal('complete');
    });
  });

  it('is refused over the limit, by its announcement before any byte', async () => {
    const budget = createByteBudget(2 * LIMIT);
    const announced = collectBody(receive(LIMIT + 1), { maxBytes: LIMIT, budget });
    expect(await announced.collected).to.deep.equal({ kind: 'too-large' });
    const incoming = receive();
    const sent = collectBody(incoming, { maxBytes: LIMIT, budget });
    incoming.push(Buffer.alloc(LIMIT));
    incoming.push(Buffer.alloc(1));
    expect(await sent.collected).to.deep.equal({ kind: 'too-large' });
    expect(budget.used).to.equal(0);
  });

  it('is refused without room for it and leaves the room of others as it was', async () => {
    const budget = createByteBudget(LIMIT);
    const first = collectBody(receive(), { maxBytes: LIMIT, budget });
    budget.reserve(LIMIT - 4096);
    const incoming = receive();
    const second = collectBody(incoming, { maxBytes: LIMIT, budget });
    incoming.push(Buffer.alloc(4096));
    incoming.push(Buffer.alloc(1));
    expect(await second.collected).to.deep.equal({ kind: 'no-room' });
    expect(budget.used).to.equal(LIMIT - 4096);
    first.release();
    expect(budget.used).to.equal(LIMIT - 4096);
  });

  // Unfinished bodies held the whole budget until their time limit, and ordinary callers got 503 for as long.
  it('is given up for another one when it has been unfinished for long, the oldest first', async () => {
    let now = 0;
    const budget = createByteBudget(8192, { now: () => now, protectedMs: 100 });
    const open = () => {
      const incoming = receive();
      return { incoming, body: collectBody(incoming, { maxBytes: LIMIT, budget }) };
    };
    const first = open();
    first.incoming.push(Buffer.alloc(10));
    await nextTurn();
    now = 50;
    const second = open();
    second.incoming.push(Buffer.alloc(10));
    await nextTurn();
    now = 99;
    const early = open();
    early.incoming.push(Buffer.alloc(10));
    expect(await early.body.collected).to.deep.equal({ kind: 'no-room' });
    now = 100;
    const third = open();
    third.incoming.push(Buffer.alloc(10));
    expect(await first.body.collected).to.deep.equal({ kind: 'abandoned' });
    expect(first.incoming.destroyed).to.equal(true);
    second.incoming.push(null);
    third.incoming.push(null);
    expect((await second.body.collected).kind).to.equal('complete');
    expect((await third.body.collected).kind).to.equal('complete');
    now = 1000;
    // Complete bodies are in use and are not given up.
    const fourth = open();
    fourth.incoming.push(Buffer.alloc(10));
    expect(await fourth.body.collected).to.deep.equal({ kind: 'no-room' });
  });

  it('is refused when it has been unfinished for longest itself, and the budget stays right', async () => {
    let now = 0;
    const budget = createByteBudget(4096, { now: () => now, protectedMs: 100 });
    const incoming = receive();
    const body = collectBody(incoming, { maxBytes: LIMIT, budget });
    incoming.push(Buffer.alloc(10));
    await nextTurn();
    now = 1000;
    incoming.push(Buffer.alloc(4096));
    expect(await body.collected).to.deep.equal({ kind: 'no-room' });
    body.release();
    expect(budget.used).to.equal(0);
  });

  it('returns its charge when the connection ends before the body', async () => {
    const budget = createByteBudget(LIMIT);
    const incoming = receive(5000);
    const body = collectBody(incoming, { maxBytes: LIMIT, budget });
    incoming.push(Buffer.alloc(100));
    await nextTurn();
    expect(budget.used).to.equal(4096);
    incoming.destroy();
    expect(await body.collected).to.deep.equal({ kind: 'aborted' });
    expect(budget.used).to.equal(0);
  });
});
