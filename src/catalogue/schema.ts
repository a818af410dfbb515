/**
 * Schemas of catalogue entries, teams and keys, with the defaults of each work class.
 */
import { z } from 'zod';
import { WORK_CLASSES, type CatalogueEntry, type ApiKey, type WorkClass } from '../model/index.js';
import { booleanField, mapping, oneOf, positiveNumber, wholeNumber } from './fields.js';

const HOUR_MS = 60 * 60 * 1000;
const KIB = 1024;
/** Also the longest deadline that a submission may request. */
const MAX_DEADLINE_MS = 7 * 24 * HOUR_MS;

interface ClassDefaults {
  readonly tasks: number;
  readonly deadlineMs: number;
  readonly maxRunMs: number;
  readonly maxInputBytes: number;
}

/**
 * The default input limit of jobs is lower than that of interactive requests, because the journal
 * stores up to 64 jobs in one value of at most one megabyte.
 */
const JOB_DEFAULTS: ClassDefaults = {
  tasks: 1,
  deadlineMs: 24 * HOUR_MS,
  maxRunMs: HOUR_MS,
  maxInputBytes: 8 * KIB,
};

const CLASS_DEFAULTS: Readonly<Record<WorkClass, ClassDefaults>> = {
  interactive: { tasks: 1, deadlineMs: 2000, maxRunMs: 10_000, maxInputBytes: 64 * KIB },
  batch: JOB_DEFAULTS,
  gang: JOB_DEFAULTS,
  service: JOB_DEFAULTS,
};

const DEFAULT_SIZE = { processors: 1, memoryMb: 512, accelerators: 0 };
const DEFAULT_MAX_QUEUED = 1000;
/** Only idempotent work may be started again after a failure. */
const DEFAULT_IDEMPOTENT_ATTEMPTS = 3;
const HASH_FIX = 'write the SHA-256 of the secret as 64 lower-case hexadecimal digits';
/** Team of operator keys without a team. */
const DEFAULT_OPERATOR_TEAM = 'operators';

const sizeSchema = mapping({
  processors: positiveNumber('write a positive number of processor cores').default(
    DEFAULT_SIZE.processors,
  ),
  memoryMb: wholeNumber('mebibytes', 1).default(DEFAULT_SIZE.memoryMb),
  accelerators: wholeNumber('accelerators', 0).default(DEFAULT_SIZE.accelerators),
});

export const entrySchema = mapping({
  owner: z.string('write the name of the team that owns the entry'),
  class: oneOf(WORK_CLASSES as readonly [WorkClass, ...WorkClass[]]),
  idempotent: booleanField.default(false),
  size: sizeSchema.default(DEFAULT_SIZE),
  tasks: wholeNumber('tasks', 1).optional(),
  deadlineMs: wholeNumber('milliseconds', 1, MAX_DEADLINE_MS).optional(),
  maxRunMs: wholeNumber('milliseconds', 1).optional(),
  maxInputBytes: wholeNumber('bytes', 0).optional(),
  maxQueued: wholeNumber('requests', 1).default(DEFAULT_MAX_QUEUED),
  maxAttempts: wholeNumber('starts', 1).optional(),
  open: booleanField.default(false),
});

export const teamSchema = mapping({
  share: positiveNumber('write a positive weight, for example 1').default(1),
  limit: wholeNumber('running tasks', 0),
});

export const keySchema = mapping({
  team: z.string('write the name of the team that the key belongs to').optional(),
  hash: z.string(HASH_FIX).regex(/^[0-9a-f]{64}$/, HASH_FIX),
  role: oneOf(['submitter', 'operator']).default('submitter'),
});

/** Sets the missing fields of a validated entry to the defaults of its class. */
export function applyEntryDefaults(
  name: string,
  entry: z.output<typeof entrySchema>,
): CatalogueEntry {
  const defaults = CLASS_DEFAULTS[entry.class];
  return {
    name,
    owner: entry.owner,
    class: entry.class,
    idempotent: entry.idempotent,
    size: entry.size,
    tasks: entry.tasks ?? defaults.tasks,
    deadlineMs: entry.deadlineMs ?? defaults.deadlineMs,
    maxRunMs: entry.maxRunMs ?? defaults.maxRunMs,
    maxInputBytes: entry.maxInputBytes ?? defaults.maxInputBytes,
    maxQueued: entry.maxQueued,
    maxAttempts: entry.maxAttempts ?? (entry.idempotent ? DEFAULT_IDEMPOTENT_ATTEMPTS : 1),
    open: entry.open,
  };
}

/** Sets the team of a validated operator key that names none; it is not a team of the catalogue. */
export function applyKeyDefaults(id: string, key: z.output<typeof keySchema>): ApiKey {
  return { id, team: key.team ?? DEFAULT_OPERATOR_TEAM, hash: key.hash, role: key.role };
}
