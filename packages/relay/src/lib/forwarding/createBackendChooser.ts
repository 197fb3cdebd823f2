import type { ServerLimits } from '@endiveferry/admission';
import {
  createNotRunFailure,
  type BackendServerId,
  type Failure,
  type Random,
} from '@endiveferry/base';

import { chooseEngine, choosePlainServer, type BackendChoice } from '../servers/chooseBackend.js';
import { countTokens } from '../servers/countTokens.js';
import type { Backend, Backends } from '../servers/createBackends.js';
import { explainServers, type ServerExplanation } from '../servers/explainServers.js';
import type { WarmUps } from '../servers/createWarmUps.js';
import { createPromptCache } from '../servers/createPromptCache.js';
import type { BackendGroup, ChosenBackend, ForwardRequest } from './ForwardRequest.js';
import type { HostEnvironment } from '../HostEnvironment.js';

/** Retry delay when all servers of a pool have reached their limits, in milliseconds. */
const LIMIT_RETRY_MS = 1_000;
/**
 * The same when they are all evacuated, in milliseconds. An evacuation lasts until an operator ends
 * it, which is not known beforehand.
 */
const EVACUATED_RETRY_MS = 2_000;

/** What the choice reads of a request. @internal */
export type ExplainedRequest = Pick<ForwardRequest, 'route' | 'metadata' | 'poolId'>;

/** A choice with all its candidates. @internal */
export interface ExplainedChoice {
  readonly chosen: BackendServerId | null;
  readonly servers: readonly ServerExplanation[];
}

/** Chooses the backend servers of requests. @internal */
export interface BackendChooser {
  /** Chooses the server of the next attempt; returns undefined when none is usable. */
  choose(
    request: ForwardRequest,
    attemptedIds: ReadonlySet<BackendServerId>,
  ): ChosenBackend | undefined;
  /** Returns whether {@link choose} would choose a server; changes nothing. */
  mayChoose(request: ForwardRequest, attemptedIds: ReadonlySet<BackendServerId>): boolean;
  /** Returns what {@link choose} would choose, without jitter, and the candidates; changes nothing. */
  explain(request: ExplainedRequest): ExplainedChoice;
  /**
   * Rejects a request at once when all servers of its group leave, are evacuated, are warming up
   * beyond this host's share, have reached the limits that they named, or have requested backoffs.
   */
  checkServers(group: BackendGroup): Failure | undefined;
}

/** Options of {@link createBackendChooser}. @internal */
export interface BackendChooserOptions {
  readonly environment: Pick<HostEnvironment, 'availabilityZone'>;
  readonly random: Random;
  readonly backends: Pick<Backends, 'listPool'>;
  readonly limits: ServerLimits;
  readonly warmUps?: WarmUps;
  /** Returns the number of unread prompt tokens of other hosts' requests at an engine. */
  readonly countOtherHostsTokens: (serverId: BackendServerId) => number;
}

/**
 * Creates the chooser, with an empty prompt cache.
 *
 * @param options - see {@link BackendChooserOptions}
 * @returns the chooser
 * @internal
 */
export function createBackendChooser(options: BackendChooserOptions): BackendChooser {
  const { environment, random, backends, limits, warmUps } = options;
  const promptCache = createPromptCache();

  function listGroup({ poolId, origin }: BackendGroup): readonly Backend[] {
    const pool = backends.listPool(poolId);
    if (origin === undefined) return pool;
    return pool.filter(({ server }) => server.softwareVersion === origin.softwareVersion);
  }

  const buildChoice = (
    group: BackendGroup,
    attemptedIds: ReadonlySet<BackendServerId>,
    jitter: () => number,
  ) => ({
    candidates: listGroup(group),
    attemptedIds,
    availabilityZone: environment.availabilityZone,
    limits,
    warmUps,
    jitter,
  });

  function chooseFromGroup(
    request: Pick<ForwardRequest, 'route' | 'metadata' | 'inputBytes'>,
    choice: BackendChoice,
  ): ChosenBackend | undefined {
    if (request.route.kind !== 'streaming') {
      const backend = choosePlainServer(choice);
      return backend === undefined ? undefined : { backend, promptTokens: 0 };
    }
    const { promptParts } = request.metadata;
    const backend = chooseEngine({
      ...choice,
      promptParts,
      inputs: request.inputBytes,
      cache: promptCache,
      countOtherHostsTokens: options.countOtherHostsTokens,
    });
    if (backend === undefined) return undefined;
    const { serverId } = backend.server;
    const promptTokens = countTokens(promptParts) - promptCache.countCached(serverId, promptParts);
    return { backend, promptTokens };
  }

  return {
    choose(request, attemptedIds) {
      const choice = buildChoice(request, attemptedIds, () => random.nextFraction());
      const chosen = chooseFromGroup(request, choice);
      if (chosen === undefined) return undefined;
      const { serverId } = chosen.backend.server;
      if (request.route.kind === 'streaming')
        promptCache.recordSent(serverId, request.metadata.promptParts);
      limits.recordSent(serverId);
      warmUps?.recordSent(serverId);
      return chosen;
    },
    mayChoose: (request, attemptedIds) =>
      chooseFromGroup(
        request,
        buildChoice(request, attemptedIds, () => 0),
      ) !== undefined,
    explain(request) {
      const choice = buildChoice({ ...request, origin: undefined }, new Set(), () => 0);
      const chosen = chooseFromGroup({ ...request, inputBytes: [] }, choice);
      return {
        chosen: chosen?.backend.server.serverId ?? null,
        servers: explainServers(choice.candidates, choice),
      };
    },
    checkServers(group) {
      const listed = listGroup(group);
      const staying = listed.filter(({ server }) => !server.isLeaving);
      const usable = staying.filter(({ server }) => server.isEvacuated !== true);
      if (listed.length === 0) return undefined;
      if (usable.length === 0 && staying.length > 0) {
        return createNotRunFailure(
          'overloaded',
          `all servers of pool ${group.poolId} are in evacuated availability zones or leaving`,
          EVACUATED_RETRY_MS,
        );
      }
      if (usable.length === 0) {
        return createNotRunFailure(
          'no-backend-server',
          `all ${listed.length} servers of pool ${group.poolId} are leaving`,
        );
      }
      const isWarmingUp = ({ server }: Backend) => warmUps?.maySend(server.serverId) === false;
      const isExhausted = usable.every(
        (backend) => isWarmingUp(backend) || !limits.maySend(backend.server.serverId),
      );
      if (!isExhausted) return undefined;
      if (usable.every(isWarmingUp)) {
        return createNotRunFailure(
          'overloaded',
          `all ${usable.length} servers of pool ${group.poolId} are warming up, and this host has used its share`,
          LIMIT_RETRY_MS,
        );
      }
      const retryDelays = usable.map(({ server }) => {
        const backoffMs = limits.backoffs.findRemainingMs(server.serverId);
        return backoffMs > 0 ? backoffMs : LIMIT_RETRY_MS;
      });
      return createNotRunFailure(
        'overloaded',
        `all ${usable.length} servers of pool ${group.poolId} have reached their limits or requested backoffs`,
        Math.min(...retryDelays),
      );
    },
  };
}
