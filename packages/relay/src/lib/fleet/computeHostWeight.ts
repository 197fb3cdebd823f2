import type { HostEnvironment } from '../HostEnvironment.js';

/** Link bandwidth above which a dispatcher is not limited by the link. */
const SUFFICIENT_LINK_MBPS = 40;
/** Favours large hosts more than in proportion: dispatching may use most of a small host's CPU. */
const SIZE_EXPONENT = 3;
/** Lower bound, so that an underpowered host still serves when no other is left. */
const MIN_WEIGHT = 0.001;

/**
 * Computes a host's relative weight in the choice of dispatchers. In a large fleet with hosts of
 * different sizes, a dispatcher on a small host delays the requests of all hosts.
 *
 * @param environment - CPU cores of the process and bandwidth of the host's link
 * @returns the weight, greater than 0
 * @internal
 */
export function computeHostWeight({
  cores,
  linkMbps,
}: Pick<HostEnvironment, 'cores' | 'linkMbps'>): number {
  const linkShare = Math.min(1, linkMbps / SUFFICIENT_LINK_MBPS);
  return Math.max(MIN_WEIGHT, (cores * linkShare) ** SIZE_EXPONENT);
}
