/**
 * Validates submissions. All validation errors are reported together.
 */
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { isRequestId, refuse, type RefusedOutcome } from '../model/index.js';
import type { RequestFinding } from './problem.js';

const MAX_DEADLINE_MS = 7 * 24 * 60 * 60 * 1000;

/** A submission whose form has been validated. */
export interface Submission {
  readonly entry: string;
  readonly id?: string;
  readonly input: Uint8Array;
  readonly contentType: string;
  readonly deadlineMs?: number;
  /** Whether the caller waits for the outcome; by default only for interactive entries. */
  readonly wait?: boolean;
}

/** The refusal of a submission that failed validation. */
export interface MalformedSubmission {
  readonly refused: RefusedOutcome;
  readonly findings: readonly RequestFinding[];
}

const requestIdSchema = z
  .string()
  .refine(isRequestId, 'send a UUID of version 7 in lower case, or leave the id out');

const deadlineSchema = z
  .number()
  .int('send whole milliseconds')
  .min(1, 'send at least 1 millisecond')
  .max(MAX_DEADLINE_MS, `send at most ${String(MAX_DEADLINE_MS)} milliseconds`);

const submissionSchema = z.strictObject({
  entry: z.string('name an entry of the catalogue').min(1, 'name an entry of the catalogue'),
  id: requestIdSchema.optional(),
  input: z.unknown().optional(),
  deadlineMs: deadlineSchema.optional(),
  wait: z.boolean('send true or false').optional(),
});

const headerSchema = z.object({
  id: requestIdSchema.optional(),
  deadlineMs: z.coerce.number('send whole milliseconds').pipe(deadlineSchema).optional(),
  wait: z.enum(['true', 'false'], 'send true or false').optional(),
});

/** Parses the JSON form, in which the input is any JSON value inside the document. */
export function parseSubmission(body: Uint8Array): Result<Submission, MalformedSubmission> {
  const document = parseJson(body);
  if (document.isErr()) return err(document.error);
  const parsed = submissionSchema.safeParse(document.value);
  if (!parsed.success) return err(createMalformedSubmission(parsed.error));
  const { entry, id, input, deadlineMs, wait } = parsed.data;
  return ok({
    entry,
    input: Buffer.from(JSON.stringify(input ?? null)),
    contentType: 'application/json',
    ...(id !== undefined && { id }),
    ...(deadlineMs !== undefined && { deadlineMs }),
    ...(wait !== undefined && { wait }),
  });
}

/** Parses the raw form, in which the body is the input and everything else is in headers. */
export function parseRawSubmission(
  entry: string,
  headers: Headers,
  input: Uint8Array,
): Result<Submission, MalformedSubmission> {
  const parsed = headerSchema.safeParse({
    id: headers.get('request-id') ?? undefined,
    deadlineMs: headers.get('deadline-ms') ?? undefined,
    wait: headers.get('wait') ?? undefined,
  });
  if (!parsed.success) return err(createMalformedSubmission(parsed.error));
  const { id, deadlineMs, wait } = parsed.data;
  return ok({
    entry,
    input,
    contentType: headers.get('content-type') ?? 'application/octet-stream',
    ...(id !== undefined && { id }),
    ...(deadlineMs !== undefined && { deadlineMs }),
    ...(wait !== undefined && { wait: wait === 'true' }),
  });
}

function parseJson(body: Uint8Array): Result<unknown, MalformedSubmission> {
  try {
    return ok(JSON.parse(Buffer.from(body).toString('utf8')));
  } catch (error) {
    const problem = error instanceof Error ? error.message : 'not JSON';
    return err({
      refused: refuse('malformed', 'The body is not a JSON document; send one.'),
      findings: [{ place: 'body', problem }],
    });
  }
}

function createMalformedSubmission(error: z.ZodError): MalformedSubmission {
  const findings = error.issues.map((issue) => ({
    place: issue.path.length === 0 ? 'body' : issue.path.map(String).join('.'),
    problem: issue.message,
  }));
  return {
    refused: refuse('malformed', 'The request has mistakes; correct the listed findings.'),
    findings,
  };
}
