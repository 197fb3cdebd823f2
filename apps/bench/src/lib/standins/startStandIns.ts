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

/** Calls that wait at a stand-in for each one that it runs. */
const QUEUE_FACTOR = 4;

/**
 * The stand-ins of all backend servers of a configuration.
 *
 * @public
 */
export interface StandIns {
  readonly servers: ReadonlyMap<BackendServerId, StandInServer>;
  readonly executionLog: ExecutionLog;
  readonly cacheCounts: CacheCounts;
  /** Lists the stand-ins of one pool. */
  listPool(poolId: PoolId): readonly StandInServer[];
  /** The configuration with the stand-ins' addresses in place of the real ones. */
  readonly configuration: Configuration;
  close(): Promise<void>;
}

type CreateKind = (
  random: Random,
  counts: CacheCounts,
  models: readonly string[],
  tokenIntervalMs: number,
  ignoresFencing: boolean,
) => StandInKind;

const kinds: Readonly<Record<PoolKind, CreateKind>> = {
  'model-engine': createEngineKind,
  encoder: createEncoderKind,
  retriever: createRetrieverKind,
  reranker: createRerankerKind,
  'plain-service': createPlainServiceKind,
};

/**
 * Starts a stand-in for each backend server.
 *
 * @param source - the configuration
 * @param random - draws service times and faults
 * @param tokenIntervalMs - time between two tokens of an engine, in milliseconds
 * @returns the stand-ins
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
        maxQueued: pool.serverConcurrency * QUEUE_FACTOR,
        executionLog,
        random,
        createKind: () =>
          kinds[pool.kind](
            random,
            cacheCounts,
            settings.models,
            tokenIntervalMs,
            // Both sorts of engine stand in each pool.
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
