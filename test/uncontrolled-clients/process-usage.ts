/**
 * Memory and descriptors of a process as the kernel counts them.
 */
import { readdir, readFile } from 'node:fs/promises';
import { expectDefined } from '../platform-path/support.js';

const SAMPLE_INTERVAL_MS = 20;

/** The most memory that was resident so far, in megabytes. */
export async function readPeakMemoryMb(pid: number): Promise<number> {
  const status = await readFile(`/proc/${String(pid)}/status`, 'utf8');
  return Number(expectDefined(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1])) / 1024;
}

/** Samples the number of open descriptors until it is stopped. */
export function samplePeakDescriptors(pid: number) {
  const sampler = {
    peak: 0,
    stop: () => {
      clearInterval(timer);
    },
  };
  const timer = setInterval(() => {
    void readdir(`/proc/${String(pid)}/fd`).then(
      ({ length }) => {
        sampler.peak = Math.max(sampler.peak, length);
      },
      () => undefined,
    );
  }, SAMPLE_INTERVAL_MS);
  return sampler;
}
