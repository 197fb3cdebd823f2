import type { RelayConfiguration, RelayWorkspace, Route } from '../RelayConfiguration.js';

/** Computes the ranks of requests. @public */
export interface RankTable {
  /** Returns the rank of a workspace's request on a route; 0 is the most urgent. */
  findRank(route: Route, workspace: RelayWorkspace | undefined): number;
}

const sortDistinct = (numbers: readonly number[]) =>
  [...new Set(numbers)].sort((first, second) => first - second);

/**
 * Creates the table of one configuration. Ranks are consecutive. Requests are ordered by the rank
 * of their workspace, then by the rank of their route: even if all workspaces have the same rank,
 * urgent requests go before others.
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
  // A workspace without a rank gets the least urgent rank that is configured.
  const lastWorkspaceRank = workspaceRanks.at(-1) ?? 0;
  return {
    findRank(route, workspace) {
      const workspaceRank = workspace?.rank ?? lastWorkspaceRank;
      const ahead = Math.max(0, workspaceRanks.indexOf(workspaceRank));
      return ahead * routeRanks.length + Math.max(0, routeRanks.indexOf(route.rank));
    },
  };
}
