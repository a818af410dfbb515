/** Guards the way from the id of a failed request to its lines in the logs of all hosts. */
import { expect } from 'chai';
import { mergeLogs, parseLog } from '../../src/timeline/index.js';

const LEADER = [
  '{"level":30,"time":"2026-12-04T10:00:00.020Z","host":"a","event":"job-learned","job":"j1","team":"lawns"}',
  '{"level":30,"time":"2026-12-04T10:00:00.030Z","host":"a","event":"permits-answered","step":"j1.0.0"}',
  '{"level":30,"time":"2026-12-04T10:00:00.040Z","host":"a","event":"run-ended","task":"j1.0.0.2","worker":"w1"}',
  '{"level":30,"time":"2026-12-04T10:00:00.050Z","host":"a","event":"job-learned","job":"j12","team":"seams"}',
  '',
].join('\n');
const OTHER =
  '  3.2 b {"level":30,"time":"2026-12-04T10:00:00.010Z","host":"b","event":"job-submitted","job":"j1"}\n(node:1) Warning\n{"level":30\n';

describe('logs of hosts', () => {
  const logs = [parseLog(LEADER), parseLog(OTHER)];

  it('are merged by time, whatever stands before a line', () => {
    expect(mergeLogs(logs).map(({ host, event }) => `${host} ${event}`)).to.deep.equal([
      'b job-submitted',
      'a job-learned',
      'a permits-answered',
      'a run-ended',
      'a job-learned',
    ]);
  });

  it('tell the lines that are not structured', () => {
    expect(logs.map(({ invalidLines }) => invalidLines)).to.deep.equal([[], [2, 3]]);
  });

  it('show the tasks and permits of a request, and not those of another that begins like it', () => {
    const events = mergeLogs(logs, { request: 'j1' }).map(({ event }) => event);
    expect(events).to.deep.equal(['job-submitted', 'job-learned', 'permits-answered', 'run-ended']);
  });

  it('are filtered by team, worker, event and time', () => {
    const sinceMs = Date.parse('2026-12-04T10:00:00.040Z');
    expect(mergeLogs(logs, { team: 'lawns' })).to.have.length(1);
    expect(mergeLogs(logs, { worker: 'w1' })).to.have.length(1);
    expect(mergeLogs(logs, { event: 'job-learned' })).to.have.length(2);
    expect(mergeLogs(logs, { sinceMs })).to.have.length(2);
  });
});
