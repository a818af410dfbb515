/**
 * Guards against links that take the time or the memory of the leader with forwarded calls: more calls at a time than
 * allowed, calls of one link before those of all others, and calls whose answers are not read.
 */
import { expect } from 'chai';
import { createCallQueue, type CallSource } from '../../src/peers/call-queue.js';

describe('the queue of forwarded calls', () => {
  let started: string[];
  let ends: (() => void)[];

  beforeEach(() => {
    started = [];
    ends = [];
  });

  function createSource(changes: Partial<CallSource> = {}): CallSource {
    return {
      run: (data) => {
        started.push(data.toString());
        return new Promise((resolve) => ends.push(resolve));
      },
      isReading: () => true,
      pause: () => undefined,
      resume: () => undefined,
      ...changes,
    };
  }

  async function endOne() {
    ends.shift()?.();
    await new Promise((resolve) => setImmediate(resolve));
  }

  it('works on a limited number of calls and lets links take turns', async () => {
    const queue = createCallQueue({ maxRunning: 2 });
    const many = queue.open(createSource());
    for (const call of ['a1', 'a2', 'a3', 'a4']) many.add(Buffer.from(call));
    queue.open(createSource()).add(Buffer.from('b1'));
    expect(started).to.deep.equal(['a1', 'a2']);
    await endOne();
    await endOne();
    expect(started).to.deep.equal(['a1', 'a2', 'a3', 'b1']);
  });

  it('starts no call of a link that does not read, and lets others pass', () => {
    let reading = false;
    const queue = createCallQueue();
    const line = queue.open(createSource({ isReading: () => reading }));
    line.add(Buffer.from('a1'));
    queue.open(createSource()).add(Buffer.from('b1'));
    expect(started).to.deep.equal(['b1']);
    reading = true;
    line.advance();
    expect(started).to.deep.equal(['b1', 'a1']);
  });

  it('pauses a link with too many waiting calls until they are fewer', async () => {
    const changes: string[] = [];
    const queue = createCallQueue({ maxRunning: 1, maxWaiting: 1 });
    const line = queue.open(
      createSource({
        pause: () => changes.push('paused'),
        resume: () => changes.push('resumed'),
      }),
    );
    for (const call of ['a1', 'a2', 'a3']) line.add(Buffer.from(call));
    expect(changes.at(-1)).to.equal('paused');
    await endOne();
    expect(changes.at(-1)).to.equal('resumed');
  });

  it('drops the calls of a link that has ended', async () => {
    const queue = createCallQueue({ maxRunning: 1 });
    const line = queue.open(createSource());
    for (const call of ['a1', 'a2']) line.add(Buffer.from(call));
    line.close();
    await endOne();
    expect(started).to.deep.equal(['a1']);
  });
});
