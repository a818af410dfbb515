/**
 * An in-memory operator backend with one configuration, whose state and answers a test can override.
 */
import { errAsync, okAsync } from 'neverthrow';
import { compileConfiguration, hashSecret } from '../../src/catalogue/index.js';
import type { Configuration } from '../../src/model/index.js';
import type {
  ConfigurationChange,
  OperatorBackend,
  RolloutRow,
  TimelineQuery,
} from '../../src/operators/index.js';

export const OPERATOR_SECRET = 'operator-secret';
export const TEAM_SECRET = 'team-secret';

/** A valid configuration with one team, one submitter key and one operator key. */
export const CONFIGURATION_TEXT = `# kept by hand
teams:
  gate: { limit: 10 }
entries:
  lookup: { owner: gate, class: interactive }
keys:
  # the terminal at the gate
  terminal: { team: gate, hash: ${hashSecret(TEAM_SECRET)} }
  admin: { role: operator, hash: ${hashSecret(OPERATOR_SECRET)} }
`;

export interface FakeBackend extends OperatorBackend {
  current: Configuration | undefined;
  keysAreCurrent: boolean;
  rolloutRows: readonly RolloutRow[];
  readonly queries: TimelineQuery[];
  readonly changes: ConfigurationChange[];
}

/** With an empty text, the host has no configuration yet. */
export function createFakeBackend(text = CONFIGURATION_TEXT): FakeBackend {
  const empty = () => Promise.resolve({ rows: [], unreachable: [] });
  const backend: FakeBackend = {
    current: text === '' ? undefined : compileConfiguration(text, 1, 'first')._unsafeUnwrap(),
    keysAreCurrent: true,
    rolloutRows: [],
    queries: [],
    changes: [],
    configuration: () => backend.current,
    keysCurrent: () => backend.keysAreCurrent,
    apply: (change) => {
      backend.changes.push(change);
      const revision = backend.current?.revision ?? 0;
      if (change.baseRevision !== revision) return errAsync({ kind: 'conflict', revision });
      const next = compileConfiguration(change.text, revision + 1, change.changeId);
      if (next.isErr()) return errAsync({ kind: 'invalid', findings: next.error });
      backend.current = next.value;
      return okAsync({ revision: next.value.revision, hosts: backend.rolloutRows });
    },
    rollout: () => Promise.resolve(backend.rolloutRows),
    queue: empty,
    workers: empty,
    teams: empty,
    hosts: empty,
    timeline: (query) => {
      backend.queries.push(query);
      return empty();
    },
  };
  return backend;
}
