/** Guards that the id of a failed request leads to its lines in the logs of all hosts. */
import { expect } from 'chai';
import { mergeLogs, parseLog } from '../../src/timeline/index.js';

const LEADER = [
  '{"level":30,"time":"2026-12-04T10:00:00.020Z","host":"a","event":"job-learned","job":"j1","team":"lawns"}',
  '{"level":30,"time":"2026-12-04T10:00:00.030Z","host":"a","event":"permits-answered","step":"j1.0.0"}',
  '{"level":30,"time":"2026-12-04T10:00:00.040Z","host":"a","event":"run-ended","task":"j1.0.0.2","worker":"w1"}',
  '{"level":30,"time":"2026-12-04T10:00:00.050Z","host":"a","event":"job-learned","job":"j12","team":"seams"}',
  '',
].join('\n');
const FOLLOWER =
  '  3.2 b {"level":30,"time":"2026-12-04T10:00:00.010Z","host":"b","event":"job-submitted","job":"j1"}\n(node:1) Warning\n{"level":30\n';

describe('log lines of hosts', () => {
  const logs = [parseLog(LEADER), parseLog(FOLLOWER)];

  it('are merged by time, whatever prefix a log collector adds', () => {
    expect(mergeLogs(logs).map(({ host, event }) => `${host} ${event}`)).to.deep.equal([
      'b job-submitted',
      'a job-learned',
      'a permits-answered',
      'a run-ended',
      'a job-learned',
    ]);
  });

  it('are reported by number if they are not structured', () => {
    expect(logs.map(({ invalidLines }) => invalidLines)).to.deep.equal([[], [2, 3]]);
  });

  it('of a request include its tasks and permits, but not those of a request whose id has the same prefix', () => {
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
