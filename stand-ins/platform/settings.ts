/**
 * The settings file that the platform writes for a host, as far as the daemon reads it.
 */

export interface HostSettingsOptions {
  readonly name: string;
  readonly ip: string;
  readonly dataCentre: string;
  /** `ip:port`. */
  readonly storeAddress: string;
  /** Seconds from a planned stop to the kill; the platform's usual 6 unless given. */
  readonly graceS?: number;
}

const USUAL_GRACE_S = 6;

export function formatHostSettings(options: HostSettingsOptions): string {
  const { name, ip, dataCentre, storeAddress, graceS = USUAL_GRACE_S } = options;
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
    '[platform]',
    `address = "${storeAddress}"`,
  ].join('\n');
}
