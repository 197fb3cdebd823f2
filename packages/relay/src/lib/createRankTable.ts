import type { RelayConfiguration, RelayWorkspace, Route } from './RelayConfiguration.js';

/**
 * Finds the rank of requests.
 *
 * @public
 */
export interface RankTable {
  /** The rank of a workspace's request on a route; 0 is the most urgent, and no number is left out. */
  findRank(route: Route, workspace: RelayWorkspace | undefined): number;
}

const sortDistinct = (numbers: readonly number[]) =>
  [...new Set(numbers)].sort((first, second) => first - second);

/**
 * Creates the table of one configuration. A workspace's rank goes before the route's, and among
 * requests of workspaces of one rank the route's decides: all workspaces may have the same rank, and
 * their urgent requests still go before their others.
 *
 * @param configuration - the configuration
 * @returns the table
 * @public
 */
export function createRankTable({
  routes,
  workspaces = [],
}: Pick<RelayConfiguration, 'routes' | 'workspaces'>): RankTable {
  const workspaceRanks = sortDistinct(workspaces.flatMap(({ rank }) => rank ?? []));
  const routeRanks = sortDistinct(routes.map(({ rank }) => rank));
  // Whoever has no rank comes with the least urgent of those that have one.
  const lastWorkspaceRank = workspaceRanks.at(-1) ?? 0;
  return {
    findRank(route, workspace) {
      const workspaceRank = workspace?.rank ?? lastWorkspaceRank;
      const ahead = Math.max(0, workspaceRanks.indexOf(workspaceRank));
      return ahead * routeRanks.length + Math.max(0, routeRanks.indexOf(route.rank));
    },
  };
}
