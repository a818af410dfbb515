/**
 * Route that sets the injected link faults. It is served only if the settings allow fault injection,
 * which no production settings should.
 */
import { Hono } from 'hono';
import { z } from 'zod';
import type { HostComponents } from './host-components.js';

const MAX_DELAY_MS = 60_000;

const faultSchema = z.array(
  z.strictObject({
    peer: z.string(),
    direction: z.enum(['send', 'receive', 'both']),
    effect: z.union([z.literal('drop'), z.number().min(1).max(MAX_DELAY_MS)]),
  }),
);

export function createFaultApp({ faults, timeline }: HostComponents): Hono {
  const app = new Hono();
  app.put('/v1/faults', async (context) => {
    const parsed = faultSchema.safeParse(await context.req.json());
    if (!parsed.success) return context.json({ findings: parsed.error.issues }, 400);
    faults.set(parsed.data);
    timeline.record({ kind: 'faults', detail: JSON.stringify(parsed.data) });
    return context.json({});
  });
  return app;
}
