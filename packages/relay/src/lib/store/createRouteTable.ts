import type { PoolId, Random } from '@endiveferry/base';

import type { Route } from '../RelayConfiguration.js';

/** Finds routes by host name and path. @public */
export interface RouteTable {
  /** Returns the route with the longest matching path prefix; undefined when none matches. */
  findRoute(host: string, target: string): Route | undefined;
}

/**
 * Creates the table of one configuration.
 *
 * @param routes - all routes
 * @returns the table
 * @public
 */
export function createRouteTable(routes: readonly Route[]): RouteTable {
  const byHost = new Map<string, Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    byHost.set(host, [...(byHost.get(host) ?? []), route]);
  }
  for (const list of byHost.values()) list.sort((a, b) => b.prefix.length - a.prefix.length);
  return {
    findRoute(host, target) {
      const [path = ''] = target.split('?', 1);
      return byHost.get(removePort(host))?.find(({ prefix }) => path.startsWith(prefix));
    },
  };
}

function removePort(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '');
}

/**
 * Chooses one of a route's pools at random, by weight.
 *
 * @param route - the route
 * @param random - source of randomness
 * @returns the pool; undefined when no pool has a positive weight
 * @public
 */
export function choosePool(route: Route, random: Random): PoolId | undefined {
  const total = route.pools.reduce((sum, { weight }) => sum + weight, 0);
  let left = random.nextFraction() * total;
  for (const { poolId, weight } of route.pools) {
    if (weight <= 0) continue;
    left -= weight;
    if (left < 0) return poolId;
  }
  return undefined;
}
