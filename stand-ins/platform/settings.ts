/**
 * Formats the settings file that the platform writes for a host, reduced to what the daemon reads.
 */

export interface HostSettingsOptions {
  readonly name: string;
  readonly ip: string;
  readonly dataCentre: string;
  /** `ip:port`. */
  readonly storeAddress: string;
  /** Seconds between a planned stop and the kill; defaults to the platform's usual 6. */
  readonly graceS?: number;
  /** Milliseconds until an evacuation must be in force; by default, the deployment has none. */
  readonly evacuateMs?: number;
}

const DEFAULT_GRACE_S = 6;

export function formatHostSettings(options: HostSettingsOptions): string {
  const { name, ip, dataCentre, storeAddress, graceS = DEFAULT_GRACE_S, evacuateMs } = options;
  return [
    `node-name = "${name}"`,
    `zone = "${dataCentre}"`,
    `ip = "${ip}"`,
    'port-range = [7420, 7429]',
    '[listen-addresses]',
    `frontend = "${ip}:8080"`,
    `readiness = "${ip}:8081"`,
    '[bounds]',
    `grace-s = ${String(graceS)}`,
    ...(evacuateMs === undefined ? [] : [`evacuate-ms = ${String(evacuateMs)}`]),
    '[platform]',
    `address = "${storeAddress}"`,
  ].join('\n');
}
