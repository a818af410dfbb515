/**
 * Reports every few seconds what the leader has learned of workers and queues, and discards what it knows of workers
 * that are gone.
 */
import type { Forecast } from '../forecast/index.js';
import type { WorkerIncarnation } from '../jobs/index.js';
import type { EventLog, Meters } from '../observability/index.js';

export interface ForecastReport {
  close(): void;
}

export interface ForecastReportOptions {
  readonly forecast: Forecast;
  /** Incarnations that may still have runs. */
  readonly workers: () => readonly WorkerIncarnation[];
  readonly events: EventLog;
  readonly meters: Meters;
  readonly intervalMs?: number;
}

const INTERVAL_MS = 5000;

export function createForecastReport(options: ForecastReportOptions): ForecastReport {
  const { forecast, events, meters, intervalMs = INTERVAL_MS } = options;

  function report() {
    forecast.retainWorkers(options.workers());
    const summary = forecast.summarize();
    if (summary.workers === 0) return;
    events.info('forecast-learned', { ...summary });
    meters.knownSpeeds.set(summary.workers);
    for (const [quantile, speed] of Object.entries(summary.speeds)) {
      meters.workerSpeed.set({ quantile }, speed);
    }
    for (const [queue, { factor }] of Object.entries(summary.queues)) {
      meters.estimateFactor.set({ queue }, factor);
    }
  }

  const timer = setInterval(report, intervalMs);
  timer.unref();
  return {
    close: () => {
      clearInterval(timer);
      meters.knownSpeeds.set(0);
      meters.workerSpeed.reset();
      meters.estimateFactor.reset();
    },
  };
}
