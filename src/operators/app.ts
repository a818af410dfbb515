/**
 * The HTTP API for operators: the configuration, its rollout, tables of the cell's state and the
 * merged timeline. Every route requires an operator key.
 */
import { Hono } from 'hono';
import { createMiddleware } from 'hono/factory';
import { readBearerToken, createProblem } from '../callers/index.js';
import type { BodyLimits } from '../callers/index.js';
import { authorizeOperator } from './authorize.js';
import type { OperatorBackend } from './backend.js';
import { putConfiguration } from './change.js';
import type { TimelineQuery } from './rows.js';

export interface OperatorAppOptions {
  readonly backend: OperatorBackend;
  readonly bodies: BodyLimits;
  /** Hash of an operator key that is accepted while no operator key is in force. */
  readonly bootstrapKeyHash?: string | undefined;
}

interface OperatorEnvironment {
  Variables: { operator: string };
}

const BASE_PATH = '/v1/operator';
const TIMELINE_FIELDS = ['request', 'team', 'worker', 'kind'] as const;

/** Creates the HTTP application for operators, which can be mounted beside the callers' one. */
export function createOperatorApp(options: OperatorAppOptions): Hono<OperatorEnvironment> {
  const { backend, bootstrapKeyHash } = options;
  const app = new Hono<OperatorEnvironment>();
  app.use(`${BASE_PATH}/*`, requireOperator(backend, bootstrapKeyHash));
  app.get(`${BASE_PATH}/configuration`, (context) => {
    const { revision = 0, changeId = '', text = '' } = backend.configuration() ?? {};
    return context.json({ revision, changeId, text });
  });
  app.put(`${BASE_PATH}/configuration`, async (context) =>
    putConfiguration(backend, context, options.bodies, context.get('operator')),
  );
  app.get(`${BASE_PATH}/rollout`, async (context) => {
    const revision = parseNonNegativeInteger(context.req.query('revision'));
    if (revision === undefined) return createQueryProblem('revision', 'a revision number');
    return context.json({ hosts: await backend.rollout(revision) });
  });
  app.get(`${BASE_PATH}/queue`, async (context) => context.json(await backend.queue()));
  app.get(`${BASE_PATH}/workers`, async (context) => context.json(await backend.workers()));
  app.get(`${BASE_PATH}/teams`, async (context) => context.json(await backend.teams()));
  app.get(`${BASE_PATH}/hosts`, async (context) => context.json(await backend.hosts()));
  app.get(`${BASE_PATH}/timeline`, async (context) => {
    const query = parseTimelineQuery((name) => context.req.query(name));
    if (query === undefined) return createQueryProblem('since', 'milliseconds since the epoch');
    return context.json(await backend.timeline(query));
  });
  app.all(`${BASE_PATH}/*`, (context) =>
    createProblem({
      status: 404,
      title: 'No such route',
      detail: `${context.req.method} ${context.req.path} is not part of the operators' interface.`,
    }),
  );
  return app;
}

function requireOperator(backend: OperatorBackend, bootstrapKeyHash: string | undefined) {
  return createMiddleware<OperatorEnvironment>(async (context, next) => {
    const operator = authorizeOperator(backend, readBearerToken(context), bootstrapKeyHash);
    if (typeof operator !== 'string') return operator;
    context.set('operator', operator);
    await next();
    return undefined;
  });
}

function parseTimelineQuery(read: (name: string) => string | undefined): TimelineQuery | undefined {
  const fields = TIMELINE_FIELDS.flatMap((name) => {
    const value = read(name);
    return value === undefined ? [] : [[name, value] as const];
  });
  const query: TimelineQuery = Object.fromEntries(fields);
  if (read('since') === undefined) return query;
  const since = parseNonNegativeInteger(read('since'));
  return since === undefined ? undefined : { ...query, since };
}

function parseNonNegativeInteger(text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

function createQueryProblem(name: string, expected: string): Response {
  return createProblem({
    status: 400,
    title: 'The request has mistakes',
    detail: `The query parameter "${name}" is missing or wrong; send ${expected}.`,
  });
}
