/**
 * Creates a request for tests to which most of its fields do not matter.
 */
import { NO_RESOURCES, type WorkRequest } from '../../src/model/index.js';

export function createWorkRequest(team: string, id: string, input = new Uint8Array()): WorkRequest {
  const limits = { submittedAt: 1, startBefore: 2, maxRunMs: 3, maxAttempts: 4, hops: ['a'] };
  const body = { input, contentType: 'application/octet-stream' };
  const kind = { entry: 'pattern', class: 'batch' as const, idempotent: true };
  return { id, team, callerId: true, size: NO_RESOURCES, tasks: 1, ...kind, ...body, ...limits };
}
