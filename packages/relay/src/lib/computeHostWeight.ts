import type { HostEnvironment } from './ports.js';

/** Bandwidth from which a host's link no longer bounds a dispatcher, in Mbit/s. */
const ENOUGH_MBPS = 40;
/** How much more work a larger host takes: dispatching may need most of what a small one has. */
const EXPONENT = 3;
/** The smallest weight; a host that is hardly fit still serves when no other is left. */
const MIN_WEIGHT = 0.001;

/**
 * Computes how much of the work for all hosts one takes, against others. The load that it answers:
 * dispatchers of a large fleet on hosts of unlike size, where one on a small host is late for all.
 *
 * @param place - the host's share of a processor and its link
 * @returns the weight, above 0
 * @internal
 */
export function computeHostWeight({
  cores,
  linkMbps,
}: Pick<HostEnvironment, 'cores' | 'linkMbps'>): number {
  const linkShare = Math.min(1, linkMbps / ENOUGH_MBPS);
  return Math.max(MIN_WEIGHT, (cores * linkShare) ** EXPONENT);
}
