/**
 * Summarizes the queued requests by team and catalogue entry, for operators.
 */
import { WORK_CLASSES } from '../model/index.js';
import type { Queues } from './queue.js';
import type { EntryBacklog } from './options.js';

export function listBacklogs(queues: Queues, now: number): readonly EntryBacklog[] {
  const rows = new Map<string, EntryBacklog>();
  for (const queue of WORK_CLASSES.flatMap((workClass) => [...queues.active(workClass)])) {
    for (let item = queue.first; item !== undefined; item = item.next) {
      const { team, entry, submittedAt } = item.request;
      const key = `${team} ${entry}`;
      const row = rows.get(key);
      rows.set(key, {
        team,
        entry,
        class: queue.class,
        queued: (row?.queued ?? 0) + 1,
        oldestWaitMs: Math.max(row?.oldestWaitMs ?? 0, now - submittedAt),
      });
    }
  }
  return [...rows.values()];
}
