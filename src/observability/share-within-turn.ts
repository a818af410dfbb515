/**
 * Shares the result of a computation among those that ask for it in one turn of the event loop, so that a client that
 * pipelines requests does not make the host hold as many copies of it.
 */
export function shareWithinTurn<Value>(compute: () => Promise<Value>): () => Promise<Value> {
  let shared: Promise<Value> | undefined;
  return () => {
    if (shared !== undefined) return shared;
    shared = compute();
    setImmediate(() => {
      shared = undefined;
    });
    return shared;
  };
}
