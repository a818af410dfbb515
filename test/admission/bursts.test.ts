/**
 * Guards against accepted jobs that end too late to be of use, and against refusals of jobs that need not be refused,
 * in a simulated cell that uses 89 % of its cores.
 */
import { expect } from 'chai';
import { CHECKS, DAY, PATTERNS } from './loads.js';
import { simulate } from './simulated-cell.js';
import type { SimulatedJob, Simulation, SimulationOptions } from './simulated-cell.js';

const SEED = 11;
const DURATION_MS = 40_000;
const isBurst = (atMs: number) => atMs > 10_000 && atMs < 30_000;

function run(options: Partial<SimulationOptions>): Simulation {
  return simulate({ ...DAY, durationMs: DURATION_MS, admission: true, seed: SEED, ...options });
}

function count(
  { jobs }: Simulation,
  outcome: SimulatedJob['outcome'],
  matches: (job: SimulatedJob) => boolean = () => true,
): number {
  return jobs.filter((job) => job.outcome === outcome && matches(job)).length;
}

describe('admission in a simulated cell', function () {
  this.timeout(120_000);

  describe('in a burst of 2.3 times the usual urgent work', () => {
    const loadFactor: SimulationOptions['loadFactor'] = (queue, _team, atMs) =>
      queue === CHECKS.name && isBurst(atMs) ? 2.3 : 1;
    let accepting: Simulation;
    let refusing: Simulation;

    before(() => {
      accepting = run({ loadFactor, admission: false });
      refusing = run({ loadFactor });
    });

    it('leaves less than half as many accepted jobs that are of no use', () => {
      expect(count(accepting, 'useless')).to.be.greaterThan(300);
      expect(count(refusing, 'useless')).to.be.lessThan(count(accepting, 'useless') / 2);
    });

    it('gets about as many jobs done while they are of use', () => {
      expect(count(refusing, 'useful')).to.be.greaterThan(0.95 * count(accepting, 'useful'));
    });

    it('refuses no deferrable work, which can wait until the burst has ended', () => {
      expect(count(refusing, 'refused', ({ queue }) => queue === PATTERNS.name)).to.equal(0);
    });

    it('refuses nothing before the burst nor some seconds after it', () => {
      const isUsual = ({ requestedAtMs }: SimulatedJob) =>
        !isBurst(requestedAtMs) && (requestedAtMs < 10_000 || requestedAtMs > 36_000);
      expect(count(refusing, 'refused', isUsual)).to.equal(0);
    });

    it('refuses nothing in the first seconds of a new leader', () => {
      const electedAtMs = 20_000;
      const elected = run({ loadFactor, electedAtMs });
      const isNew = ({ requestedAtMs }: SimulatedJob) =>
        requestedAtMs > electedAtMs + 3000 && requestedAtMs < electedAtMs + 3400;
      expect(count(elected, 'refused', isNew)).to.equal(0);
      expect(count(elected, 'refused')).to.be.greaterThan(0);
    });
  });

  describe('with one team at 7.5 times its usual urgent work', () => {
    const isBusy = ({ team }: SimulatedJob) => team === 't1';
    const loadFactor: SimulationOptions['loadFactor'] = (queue, team, atMs) =>
      queue === CHECKS.name && team === 't1' && isBurst(atMs) ? 7.5 : 1;
    let accepting: Simulation;
    let refusing: Simulation;

    before(() => {
      accepting = run({ loadFactor, admission: false });
      refusing = run({ loadFactor });
    });

    it('refuses jobs of that team that would be of no use', () => {
      expect(count(refusing, 'refused', isBusy)).to.be.greaterThan(300);
      expect(count(refusing, 'useless', isBusy)).to.be.lessThan(
        count(accepting, 'useless', isBusy) / 2,
      );
      expect(count(refusing, 'useful', isBusy)).to.be.greaterThan(
        0.9 * count(accepting, 'useful', isBusy),
      );
    });

    it('costs the other teams nothing', () => {
      const isOther = (job: SimulatedJob) => !isBusy(job);
      const requested = refusing.jobs.filter(isOther).length;
      expect(count(refusing, 'refused', isOther)).to.be.lessThan(0.01 * requested);
      expect(count(refusing, 'useful', isOther)).to.be.at.least(
        0.99 * count(accepting, 'useful', isOther),
      );
    });
  });

  describe('at the usual load', () => {
    it('refuses nothing', () => {
      const usual = run({});
      expect(count(usual, 'refused')).to.equal(0);
      expect(count(usual, 'useless')).to.equal(0);
    });
  });

  describe('in a cell with room', () => {
    const queues = [
      { ...CHECKS, load: 0.3 },
      { ...PATTERNS, load: 0.3 },
    ];

    it('refuses nothing', () => {
      const calm = run({ queues });
      expect(count(calm, 'refused')).to.equal(0);
      expect(count(calm, 'useless')).to.equal(0);
    });

    it('refuses nothing in a burst that it has room for', () => {
      const loadFactor: SimulationOptions['loadFactor'] = (queue, _team, atMs) =>
        queue === CHECKS.name && isBurst(atMs) ? 1.5 : 1;
      const burst = run({ queues, loadFactor });
      expect(count(burst, 'refused')).to.equal(0);
      expect(count(burst, 'useless')).to.equal(0);
    });
  });
});
