/**
 * The check of every crowd: the process is alive, its memory and descriptors stay under the limits of its host, and ordinary
 * requests are answered while the crowd is still connected.
 */
import { expect } from 'chai';
import type { Crowd } from './crowd.js';
import type { GuardedHost } from './guarded-host.js';

export const BOUNDS = { memoryMb: 210, maxDescriptors: 1600 };
export const CALLER_PORT = 8080;
export const READINESS_PORT = 8081;
export const METRICS_PORT = 9464;
export const PEER_PORT = 7420;
/** Short time limits, so that a crowd is closed within the time of a test. */
export const CLIENT_LIMITS = [
  'body-timeout-ms = 2000',
  'response-timeout-ms = 2000',
  'idle-timeout-ms = 4000',
  'first-message-timeout-ms = 1000',
];
export const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
export const MAX_BODY_BYTES = 262_144;
export const LONG = Buffer.alloc(65_536, 'x');

export interface Bounds {
  readonly memoryMb: number;
  readonly maxDescriptors: number;
}

/** Gathers all crowds at the same time and checks the host with all of them connected. */
export async function withstand(
  host: GuardedHost,
  bounds: Bounds,
  crowds: readonly Promise<Crowd>[],
): Promise<void> {
  const gathered = await Promise.all(crowds);
  try {
    await checkProcess(host, bounds);
    await host.awaitOrdinaryAnswer();
    await host.awaitOperatorAnswers();
    await checkProcess(host, bounds);
  } finally {
    for (const crowd of gathered) crowd.close();
  }
}

/** Checks the process and its bounds; prints the figures if the variable SHOW_FIGURES is 1. */
export async function checkProcess(host: GuardedHost, { memoryMb, maxDescriptors }: Bounds) {
  expect(host.isAlive(), 'the process is alive').to.equal(true);
  const peakMb = await host.peakMemoryMb();
  const observed = `${peakMb.toFixed(0)} MB, ${String(host.peakDescriptors)} descriptors`;
  if (process.env.SHOW_FIGURES === '1') process.stdout.write(`        ${observed}\n`);
  expect(peakMb, observed).to.be.lessThan(memoryMb);
  expect(host.peakDescriptors, observed).to.be.lessThan(maxDescriptors);
}
