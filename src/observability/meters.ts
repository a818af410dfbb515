/**
 * Counters, gauges and latency histograms of a host, in the Prometheus text format on its metrics address.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Bucket bounds in seconds, from a response of the store to the longest wait of batch work. */
const LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

export interface Meters {
  /** Responses to callers, by operation and outcome. */
  readonly answers: Counter<'operation' | 'outcome'>;
  readonly answerSeconds: Histogram<'operation'>;
  /** Calls to the store, by operation and outcome. */
  readonly storeCalls: Counter<'operation' | 'outcome'>;
  readonly storeSeconds: Histogram<'operation'>;
  /** Orders to workers, by kind and outcome. */
  readonly orders: Counter<'order' | 'outcome'>;
  readonly taskEnds: Counter<'how'>;
  /** Placed tasks whose place matters, and whether they waited for it. */
  readonly placements: Counter<'place' | 'waited'>;
  /** Time from the readiness of a task to its start order. */
  readonly waitSeconds: Histogram<'queue'>;
  readonly planSeconds: Histogram;
  readonly eventLoopDelaySeconds: Histogram;
  readonly leader: Gauge;
  /** Age of what the leader knows of the workers; 0 on other hosts. */
  readonly fleetAgeSeconds: Gauge;
  readonly waitingTasks: Gauge<'queue'>;
  /** Quantiles of the speeds of workers that the leader has learned. */
  readonly workerSpeed: Gauge<'quantile'>;
  readonly knownSpeeds: Gauge;
  /** Expected work of a mean task over its estimate. */
  readonly estimateFactor: Gauge<'queue'>;
  /** Evacuated data centres, and the runs left in each; none on hosts that do not lead. */
  readonly evacuatedDataCentres: Gauge;
  readonly evacuationRuns: Gauge<'dataCentre'>;
  /** Time that a new job would wait for its first worker, as the leader expects; 0 where nothing waits. */
  readonly expectedWaitSeconds: Gauge<'queue' | 'share'>;
  /** Jobs that were refused although access was granted, by reason. */
  readonly admissionRefusals: Counter<'queue' | 'reason'>;
  /** Time since the configuration was last confirmed as current, at present and at each decision about access. */
  readonly configurationAgeSeconds: Gauge;
  readonly accessAgeSeconds: Histogram<'decision'>;
  /** Reads of the configuration that the store has not answered, or has rejected. */
  readonly configurationReadFailures: Counter<'failure'>;
  readonly adviceCalls: Counter<'outcome'>;
  /** Errors that nothing handled. */
  readonly unexpectedErrors: Counter<'origin'>;
  /** Errors in the handler of one item, such as an entry of the store. */
  readonly containedErrors: Counter<'source'>;
  /** Failures of loops, which are started again. */
  readonly loopFailures: Counter<'loop'>;
  /** Entries of the store that could not be used, each counted once. */
  readonly unreadableEntries: Counter<'prefix'>;
  /** Requests that were refused and connections that were closed by a limit for clients. */
  readonly limitedClients: Counter<'listener' | 'cause'>;
  /** Open connections of clients. */
  readonly connections: Gauge<'listener'>;
  /** Bytes of unfinished bodies and messages, bodies in progress and unread responses. */
  readonly clientBufferBytes: Gauge;
  render(): Promise<string>;
}

export function createMeters(): Meters {
  const registry = new Registry();
  const registers = [registry];
  const buckets = LATENCY_BUCKETS_S;
  return {
    answers: new Counter({
      name: 'sapphirewing_answers_total',
      help: 'Answers to callers',
      labelNames: ['operation', 'outcome'],
      registers,
    }),
    answerSeconds: new Histogram({
      name: 'sapphirewing_answer_seconds',
      help: 'Time to answer a caller',
      labelNames: ['operation'],
      buckets,
      registers,
    }),
    storeCalls: new Counter({
      name: 'sapphirewing_store_calls_total',
      help: 'Calls to the store',
      labelNames: ['operation', 'outcome'],
      registers,
    }),
    storeSeconds: new Histogram({
      name: 'sapphirewing_store_seconds',
      help: 'Time of a store call without waiting watches',
      labelNames: ['operation'],
      buckets,
      registers,
    }),
    orders: new Counter({
      name: 'sapphirewing_orders_total',
      help: 'Orders to workers',
      labelNames: ['order', 'outcome'],
      registers,
    }),
    taskEnds: new Counter({
      name: 'sapphirewing_task_ends_total',
      help: 'Ends of task runs',
      labelNames: ['how'],
      registers,
    }),
    placements: new Counter({
      name: 'sapphirewing_placements_total',
      help: 'Tasks placed at or away from their data rack or single rack, at once or after a wait for it',
      labelNames: ['place', 'waited'],
      registers,
    }),
    waitSeconds: new Histogram({
      name: 'sapphirewing_task_wait_seconds',
      help: 'Time from readiness of a task to its start order',
      labelNames: ['queue'],
      buckets,
      registers,
    }),
    planSeconds: new Histogram({
      name: 'sapphirewing_plan_seconds',
      help: 'Processor time of one planning round',
      buckets: [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1],
      registers,
    }),
    eventLoopDelaySeconds: new Histogram({
      name: 'sapphirewing_event_loop_delay_seconds',
      help: 'Lateness of a periodic timer',
      buckets: [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1],
      registers,
    }),
    leader: new Gauge({
      name: 'sapphirewing_leader',
      help: '1 while this host leads',
      registers,
    }),
    fleetAgeSeconds: new Gauge({
      name: 'sapphirewing_fleet_age_seconds',
      help: 'Age of what the leader knows of the workers',
      registers,
    }),
    waitingTasks: new Gauge({
      name: 'sapphirewing_waiting_tasks',
      help: 'Tasks that could run and have no worker',
      labelNames: ['queue'],
      registers,
    }),
    workerSpeed: new Gauge({
      name: 'sapphirewing_worker_speed',
      help: 'Learned speeds of workers, 1 for the median of a service',
      labelNames: ['quantile'],
      registers,
    }),
    knownSpeeds: new Gauge({
      name: 'sapphirewing_known_speeds',
      help: 'Workers whose speed the leader has learned',
      registers,
    }),
    estimateFactor: new Gauge({
      name: 'sapphirewing_estimate_factor',
      help: 'Learned work of tasks over their estimate',
      labelNames: ['queue'],
      registers,
    }),
    evacuatedDataCentres: new Gauge({
      name: 'sapphirewing_evacuated_data_centres',
      help: 'Data centres that get no new work because operators evacuate them',
      registers,
    }),
    evacuationRuns: new Gauge({
      name: 'sapphirewing_evacuation_runs',
      help: 'Runs left in an evacuated data centre',
      labelNames: ['dataCentre'],
      registers,
    }),
    expectedWaitSeconds: new Gauge({
      name: 'sapphirewing_expected_wait_seconds',
      help: 'Expected wait of a new job within its team’s share or beyond it, on the leader',
      labelNames: ['queue', 'share'],
      registers,
    }),
    admissionRefusals: new Counter({
      name: 'sapphirewing_admission_refusals_total',
      help: 'Jobs refused for lack of room or because they would end too late',
      labelNames: ['queue', 'reason'],
      registers,
    }),
    configurationAgeSeconds: new Gauge({
      name: 'sapphirewing_configuration_age_seconds',
      help: 'Time since the configuration was last confirmed as current',
      registers,
    }),
    accessAgeSeconds: new Histogram({
      name: 'sapphirewing_access_configuration_age_seconds',
      help: 'Age of the configuration by which access was granted or denied',
      labelNames: ['decision'],
      buckets,
      registers,
    }),
    configurationReadFailures: new Counter({
      name: 'sapphirewing_configuration_read_failures_total',
      help: 'Reads of the configuration that failed',
      labelNames: ['failure'],
      registers,
    }),
    adviceCalls: new Counter({
      name: 'sapphirewing_advice_calls_total',
      help: 'Calls to the advice service',
      labelNames: ['outcome'],
      registers,
    }),
    unexpectedErrors: new Counter({
      name: 'sapphirewing_unexpected_errors_total',
      help: 'Errors that nothing handled',
      labelNames: ['origin'],
      registers,
    }),
    containedErrors: new Counter({
      name: 'sapphirewing_contained_errors_total',
      help: 'Errors in the handler of one item',
      labelNames: ['source'],
      registers,
    }),
    loopFailures: new Counter({
      name: 'sapphirewing_loop_failures_total',
      help: 'Failures of loops, which are started again',
      labelNames: ['loop'],
      registers,
    }),
    unreadableEntries: new Counter({
      name: 'sapphirewing_unreadable_entries_total',
      help: 'Entries of the store that could not be used, each counted once',
      labelNames: ['prefix'],
      registers,
    }),
    limitedClients: new Counter({
      name: 'sapphirewing_limited_clients_total',
      help: 'Requests refused and connections closed by a limit for clients',
      labelNames: ['listener', 'cause'],
      registers,
    }),
    connections: new Gauge({
      name: 'sapphirewing_client_connections',
      help: 'Open connections of clients',
      labelNames: ['listener'],
      registers,
    }),
    clientBufferBytes: new Gauge({
      name: 'sapphirewing_client_buffer_bytes',
      help: 'Bytes held for unfinished bodies and messages, bodies in progress and unread responses',
      registers,
    }),
    render: () => registry.metrics(),
  };
}
