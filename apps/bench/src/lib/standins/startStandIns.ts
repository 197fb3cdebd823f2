import { listEntries, type BackendServerId, type PoolId, type Random } from '@endiveferry/base';
import type { Configuration, PoolKind } from '@endiveferry/settings';

import {
  createEngineKind,
  DEFAULT_TOKEN_INTERVAL_MS,
  type CacheCounts,
} from './createEngineKind.js';
import { createExecutionLog, type ExecutionLog } from './createExecutionLog.js';
import { startStandInServer, type StandInKind, type StandInServer } from './startStandInServer.js';
import {
  createEncoderKind,
  createPlainServiceKind,
  createRerankerKind,
  createRetrieverKind,
} from './unaryKinds.js';

/** Maximum number of queued calls for each execution slot of a stand-in. */
const MAX_QUEUED_PER_SLOT = 4;

/**
 * Stand-ins of all backend servers of a configuration.
 *
 * @public
 */
export interface StandIns {
  readonly servers: ReadonlyMap<BackendServerId, StandInServer>;
  readonly executionLog: ExecutionLog;
  readonly cacheCounts: CacheCounts;
  /** Lists the stand-ins of one pool; empty for an unknown pool. */
  listPool(poolId: PoolId): readonly StandInServer[];
  /** Copy of the configuration in which servers have the addresses of their stand-ins. */
  readonly configuration: Configuration;
  /** Stops all stand-ins. */
  close(): Promise<void>;
}

type CreateKind = (
  random: Random,
  counts: CacheCounts,
  models: readonly string[],
  tokenIntervalMs: number,
  ignoresFencing: boolean,
) => StandInKind;

const kindFactories: Readonly<Record<PoolKind, CreateKind>> = {
  'model-engine': createEngineKind,
  encoder: createEncoderKind,
  retriever: createRetrieverKind,
  reranker: createRerankerKind,
  'plain-service': createPlainServiceKind,
};

/**
 * Starts a stand-in for each backend server of a configuration.
 *
 * @param source - the configuration; it stays unchanged
 * @param random - source of service times and injected failures
 * @param tokenIntervalMs - time between two tokens of a model engine, in milliseconds
 * @returns the running stand-ins
 * @public
 */
export async function startStandIns(
  source: Configuration,
  random: Random,
  tokenIntervalMs = DEFAULT_TOKEN_INTERVAL_MS,
): Promise<StandIns> {
  const executionLog = createExecutionLog();
  const cacheCounts: CacheCounts = { lookups: 0, blocks: 0, hitBlocks: 0 };
  const servers = new Map<BackendServerId, StandInServer>();
  const pools = new Map<PoolId, StandInServer[]>();
  const configuration = structuredClone(source);
  for (const [poolId, pool] of listEntries(configuration.pools)) {
    const members: StandInServer[] = [];
    for (const [serverId, settings] of listEntries(pool.backendServers)) {
      const server = await startStandInServer({
        serverId,
        concurrency: pool.serverConcurrency,
        maxQueued: pool.serverConcurrency * MAX_QUEUED_PER_SLOT,
        executionLog,
        random,
        createKind: () =>
          kindFactories[pool.kind](
            random,
            cacheCounts,
            settings.models,
            tokenIntervalMs,
            // Every second engine of a pool ignores fencing numbers.
            members.length % 2 === 1,
          ),
      });
      settings.address = server.address;
      servers.set(serverId, server);
      members.push(server);
    }
    pools.set(poolId, members);
  }
  return {
    servers,
    executionLog,
    cacheCounts,
    configuration,
    listPool: (poolId) => pools.get(poolId) ?? [],
    async close() {
      await Promise.all([...servers.values()].map((server) => server.stop()));
    },
  };
}
