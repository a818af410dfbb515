import { expect } from 'chai';
import { createForecastReport } from '../../src/controller/forecast-report.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';
import type { EventFields } from '../../src/observability/index.js';
import { createForecastCase } from './forecast-case.js';
import { eventually } from './support.js';

describe('report of the forecast', () => {
  it('logs and meters what is learned, and discards workers that are gone', async () => {
    const { forecast, learnFactors } = createForecastCase();
    learnFactors('batch', [1, 1, 0.5]);
    const meters = createMeters();
    const lines: EventFields[] = [];
    const report = createForecastReport({
      forecast,
      workers: () => ['w0', 'w2'].map((id) => ({ id, born: 1 })),
      events: {
        ...SILENT_EVENTS,
        info: (event, fields = {}) => {
          if (event === 'forecast-learned') lines.push(fields);
        },
      },
      meters,
      intervalMs: 5,
    });
    const line = await eventually(() => lines[0], 'a line of the log');
    expect(line.workers).to.equal(2);
    expect(line).to.have.nested.property('queues.batch.steps').that.is.above(100);
    expect(line).to.have.nested.property('speeds.max').that.is.within(1.6, 2.4);
    expect(await meters.render()).to.match(/sapphirewing_worker_speed\{quantile="max"\} [12]/);
    report.close();
    expect(await meters.render()).not.to.match(/worker_speed\{quantile="max"\} [12]/);
  });
});
