import type { AvailabilityZoneId } from '@endiveferry/base';

/**
 * Identity, addresses, resources and limits of this process. Only the seeds and the limits from
 * `graceMs` on may change while it runs.
 *
 * @public
 */
export interface HostEnvironment {
  readonly hostName: string;
  readonly ip: string;
  readonly availabilityZone: AvailabilityZoneId;
  readonly callersAddress: string;
  readonly readinessAddress: string;
  readonly peersAddress: string;
  /** Addresses of the relay hosts that this host connects to first. */
  readonly seeds: readonly string[];
  /** Processor share of this process, in cores. */
  readonly cores: number;
  /** Bandwidth of the host's network link, in Mbit/s. */
  readonly linkMbps: number;
  /** Memory that this process may use, in bytes. */
  readonly memoryBytes: number;
  /** Number of descriptors that this process may have open. */
  readonly maxDescriptors: number;
  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  readonly graceMs: number;
  /** Longest time for which a revoked key may still be accepted, in milliseconds. */
  readonly revocationMs: number;
  /** Time within which a new configuration must be in force, in milliseconds. */
  readonly configurationApplyMs: number;
  /** Time within which a leaving server must get no new requests, in milliseconds. */
  readonly drainMs: number;
  /**
   * Time within which the evacuation of an availability zone must be in force, in milliseconds;
   * undefined when no time is set.
   */
  readonly evacuateMs?: number | undefined;
  /** Factor by which requests to a cold server may exceed its rate in a second; by default 1. */
  readonly warmUpOvershoot?: number | undefined;
  /** Number of requests by which they may exceed that; by default 0. */
  readonly warmUpSlack?: number | undefined;
  /** Whether servers that start or recover get a growing share of their normal work; off by default. */
  readonly hasServerRamps?: boolean;
  /** Share of a pool's requests that may be retried, over all hosts. */
  readonly retryShare: number;
  /** Number of retries that all hosts together may send beyond that share. */
  readonly retrySlack: number;
}
