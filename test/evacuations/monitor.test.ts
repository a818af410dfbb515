/**
 * Guards against an operator who takes a data centre for empty while work runs there, or who learns nothing of an
 * evacuation.
 */
import { expect } from 'chai';
import { createEvacuationMonitor, createEvacuations } from '../../src/evacuations/index.js';
import type { EvacuationMonitor, Evacuations } from '../../src/evacuations/index.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';
import type { Meters } from '../../src/observability/index.js';

const PREFIX = 'op/evacuate/';

describe('reports of evacuations', () => {
  let time: number;
  let use: { workers: number; runs: number; runsInUnknownPlaces: number };
  let logged: unknown[];
  let evacuations: Evacuations;
  let monitor: EvacuationMonitor;
  let meters: Meters;

  const evacuate = () => {
    evacuations.applyListing([{ key: `${PREFIX}dc1`, value: '{}', revision: 7 }]);
  };

  beforeEach(() => {
    time = 0;
    use = { workers: 3, runs: 2, runsInUnknownPlaces: 0 };
    logged = [];
    meters = createMeters();
    const now = () => time;
    evacuations = createEvacuations({ prefix: PREFIX, now });
    monitor = createEvacuationMonitor({
      evacuations,
      useOf: () => use,
      events: {
        ...SILENT_EVENTS,
        info: (event, fields) => {
          logged.push({ event, ...fields });
        },
      },
      meters,
      now,
    });
  });

  afterEach(() => {
    monitor.close();
  });

  it('log the begin, the last end of a run and the end of the evacuation once each', () => {
    monitor.start();
    evacuate();
    monitor.update();
    time = 4000;
    use = { ...use, runs: 0 };
    monitor.update();
    monitor.update();
    time = 9000;
    evacuations.applyListing([]);
    monitor.update();
    const dataCentre = 'dc1';
    expect(logged).to.deep.equal([
      { event: 'evacuation-begun', dataCentre, revision: 7, runs: 2, workers: 3 },
      { event: 'evacuation-emptied', dataCentre, tookMs: 4000 },
      { event: 'evacuation-ended', dataCentre, inForceMs: 9000, emptied: true },
    ]);
  });

  it('say nothing before the runs of former leaders are known', () => {
    use = { ...use, runs: 0 };
    evacuate();
    monitor.update();
    expect(logged).to.deep.equal([]);
  });

  it('do not call a data centre empty while runs go on at a place that is not known', () => {
    use = { workers: 0, runs: 0, runsInUnknownPlaces: 1 };
    monitor.start();
    evacuate();
    monitor.update();
    expect(logged).to.have.length(1);
  });

  it('tell an evacuation that is requested again at once from the one that has ended', () => {
    monitor.start();
    evacuate();
    monitor.update();
    evacuations.applyListing([]);
    time = 10;
    evacuate();
    monitor.update();
    const events = logged.map((line) => (line as { event: string }).event);
    expect(events).to.deep.equal(['evacuation-begun', 'evacuation-ended', 'evacuation-begun']);
  });

  it('are shown in gauges while this host leads', async () => {
    monitor.start();
    evacuate();
    monitor.update();
    const shown = await meters.render();
    expect(shown).to.include('sapphirewing_evacuated_data_centres 1');
    expect(shown).to.include('sapphirewing_evacuation_runs{dataCentre="dc1"} 2');
    monitor.close();
    const afterwards = await meters.render();
    expect(afterwards).to.include('sapphirewing_evacuated_data_centres 0');
    expect(afterwards).not.to.include('dc1');
  });

  it('describe what is in force and what is left', () => {
    evacuate();
    time = 1500;
    const [shown] = monitor.describe();
    expect(shown).to.include({ dataCentre: 'dc1', inForceMs: 1500, workers: 3, runs: 2 });
    expect(Math.abs(Date.now() - 1500 - Date.parse(shown?.since ?? ''))).to.be.lessThan(1000);
  });
});
