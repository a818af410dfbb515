/** Guards against one unexpected error that takes a whole process down, and against a process that throws in a loop. */
import { expect } from 'chai';
import { createErrorHandlers, SILENT_EVENTS } from '../../src/observability/index.js';

function createCase(maxErrors: number) {
  const logged: string[] = [];
  const counted: string[] = [];
  let exits = 0;
  let now = 0;
  const handlers = createErrorHandlers({
    events: {
      ...SILENT_EVENTS,
      error: (event) => {
        logged.push(event);
      },
    },
    count: (origin) => {
      counted.push(origin);
    },
    exit: () => {
      exits += 1;
    },
    maxErrors,
    monotonicNow: () => now,
  });
  return {
    ...handlers,
    logged,
    counted,
    exits: () => exits,
    passMs: (ms: number) => {
      now += ms;
    },
  };
}

describe('createErrorHandlers', () => {
  it('logs and counts an error and lets the process go on', () => {
    const { onException, onRejection, logged, counted, exits } = createCase(50);
    onException(new Error('unreadable'));
    onRejection('no error object');
    expect(logged).to.deep.equal(['unexpected-error', 'unexpected-error']);
    expect(counted).to.deep.equal(['exception', 'rejection']);
    expect(exits()).to.equal(0);
  });

  it('ends a process that throws again and again', () => {
    const { onException, logged, exits } = createCase(3);
    for (let count = 0; count < 3; count += 1) onException(new Error('again'));
    expect(exits()).to.equal(1);
    expect(logged.at(-1)).to.equal('too-many-unexpected-errors');
  });

  it('forgets errors of long ago', () => {
    const { onException, exits, passMs } = createCase(3);
    for (let count = 0; count < 9; count += 1) {
      onException(new Error('now and then'));
      passMs(6000);
    }
    expect(exits()).to.equal(0);
  });
});
