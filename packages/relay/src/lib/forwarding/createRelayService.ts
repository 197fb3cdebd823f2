import {
  createNotRunFailure,
  type BackendServerId,
  type Clock,
  type Failure,
  type PoolId,
  type Random,
  type RequestId,
} from '@endiveferry/base';
import { createRetryBudget, type RetryBudget, type ServerLimits } from '@endiveferry/admission';
import type { CrashTracker } from '@endiveferry/routing';
import type { Logger, Metrics } from '@endiveferry/telemetry';
import { err, ok, type Result } from 'neverthrow';

import { admitRequest, type AdmittedRequest } from './admitRequest.js';
import { createActiveRequests, type ActiveRequest } from './createActiveRequests.js';
import type { CallerConnection } from '../CallerConnection.js';
import { createBackendChooser } from './createBackendChooser.js';
import type { Backends } from '../servers/createBackends.js';
import type { Fleet } from '../fleet/createFleet.js';
import type { ConfigurationTracker } from '../store/createConfigurationTracker.js';
import { createRouteExplainer, type ExplainRoute } from './createRouteExplainer.js';
import { createInputPreparer } from './createInputPreparer.js';
import { createRequestInputs } from './createRequestInputs.js';
import type { StageClient } from '../stages/createStageClient.js';
import type { StopDeadline } from '../createStopDeadline.js';
import { forwardToBackend } from './forwardToBackend.js';
import type { ForwardOutcome } from './ForwardRequest.js';
import type { ListedServer } from '../RelayConfiguration.js';
import { limitToStop } from './limitToStop.js';
import type { RelayMetrics } from '../createRelayMetrics.js';
import type { WarmUps } from '../servers/createWarmUps.js';
import type { ServerSignals } from '../servers/createServerSignals.js';
import type { EstimateWaitMs } from '../RankWait.js';
import type { HostEnvironment } from '../HostEnvironment.js';
import type { CallerRequest, RequestMetadata, WireProtocol } from '../ports.js';
import type { Responder } from '../Responder.js';
import { recordOutcome } from './recordOutcome.js';
import { sendFailure } from './sendFailure.js';
import type { StreamOrigins } from '../streams/createStreamOrigins.js';
import type { StreamOrigin } from '../StreamOrigin.js';

/** Share of the fleet-wide retry budget that is used, because no host knows the fleet exactly. */
const PLANNED_BUDGET_SHARE = 0.7;

const NEVER_FORWARDED = { firstEventAt: undefined, sentAt: undefined, retryRefusal: undefined };

/** Serves callers' requests from arrival to response. @public */
export interface RelayService {
  /** Serves one request; resolves to its id, or to undefined if it has none that is valid. */
  serve(
    callerRequest: CallerRequest,
    responder: Responder,
    connection: CallerConnection,
  ): Promise<RequestId | undefined>;
  /** Returns the number of requests in progress. */
  readonly countActive: () => number;
  /** Logs the requests in progress, because this host is about to cut them off. */
  readonly logCutOff: () => void;
  /**
   * Returns the retry budget of a pool. Dispatchers withdraw from it before they queue a piece for
   * another attempt, and add to it with each result.
   */
  getRetryBudget(poolId: PoolId): RetryBudget;
  readonly explain: ExplainRoute;
}

/** Options of the service. @public */
export interface RelayServiceOptions {
  readonly environment: HostEnvironment;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly relayMetrics: Pick<
    RelayMetrics,
    'recordDisconnect' | 'recordBrokenStream' | 'recordCutStream' | 'recordResumedStream'
  >;
  readonly origins: StreamOrigins;
  /** Returns the longest recent delay of this process's event loop, in milliseconds. */
  readonly findLoopDelayMs: () => number;
  readonly protocol: WireProtocol;
  readonly configurationTracker: ConfigurationTracker;
  readonly backends: Backends;
  readonly crashes: CrashTracker;
  readonly limits: ServerLimits;
  /** The cold servers; by default none is. */
  readonly warmUps?: WarmUps;
  readonly signals: ServerSignals;
  /** Whether a server, as it was listed when it was chosen, may still get new requests. */
  readonly mayReceive: (server: ListedServer) => boolean;
  readonly stages: StageClient;
  readonly countHosts: () => number;
  /** Lists the hosts that may dispatch the pieces of a pool, the preferred one first. */
  readonly listDispatchers: Fleet['listDispatchers'];
  /** Returns the number of unread prompt tokens of other hosts' requests at an engine. */
  readonly countOtherHostsTokens: (serverId: BackendServerId) => number;
  /** Estimates the time until a stage of a pool would start, in milliseconds. */
  readonly estimateWaitMs: EstimateWaitMs;
  /** Returns the monotonic time by which this host has stopped; undefined while it does not stop. */
  readonly findStopEndAt: () => number | undefined;
  readonly stopDeadline: StopDeadline;
  /** Whether this host stops too soon to finish new requests. */
  readonly isRejecting: () => boolean;
  /** Called when the address of a server turns out to belong to another server. */
  readonly onServerReplaced: (serverId: BackendServerId) => void;
}

/**
 * Creates the service.
 *
 * @param options - see {@link RelayServiceOptions}
 * @returns the service
 * @public
 */
export function createRelayService(options: RelayServiceOptions): RelayService {
  const { environment, clock, random, logger, protocol, configurationTracker } = options;
  const budgets = new Map<PoolId, RetryBudget>();
  const inputs = createInputPreparer(options);
  const chooser = createBackendChooser(options);
  const active = createActiveRequests(clock, logger);

  function getRetryBudget(poolId: PoolId): RetryBudget {
    const budget =
      budgets.get(poolId) ??
      createRetryBudget(
        () => environment.retryShare * PLANNED_BUDGET_SHARE,
        () => (environment.retrySlack * PLANNED_BUDGET_SHARE) / Math.max(1, options.countHosts()),
      );
    budgets.set(poolId, budget);
    return budget;
  }

  /** Finds where a stream began that the caller takes up; undefined for any other request. */
  async function resolveOrigin({
    metadata,
    route,
    poolId,
  }: AdmittedRequest): Promise<Result<StreamOrigin | undefined, Failure>> {
    if (route.kind !== 'streaming') return ok(undefined);
    if (metadata.lastEventId === undefined) {
      options.origins.recordDeadline(metadata.remainingMs ?? route.timeoutMs);
      return ok(undefined);
    }
    const origin = await options.origins.resolve({
      requestId: metadata.resumedRequestId,
      poolId,
      poolIds: route.pools.map((pool) => pool.poolId),
    });
    const outcome = origin.isOk() ? 'continued' : 'rejected';
    options.relayMetrics.recordResumedStream(poolId, outcome);
    return origin;
  }

  /** Runs the stages of a request, unless it is known that it cannot be served. */
  async function prepare(admitted: AdmittedRequest, connection: CallerConnection) {
    if (!(await connection.confirm()))
      return err(createNotRunFailure('cancelled', 'the caller disconnected'));
    const origin = await resolveOrigin(admitted);
    if (origin.isErr()) return err(origin.error);
    const started = { ...admitted, poolId: origin.value?.poolId ?? admitted.poolId };
    const failure = chooser.checkServers({ poolId: started.poolId, origin: origin.value });
    if (failure !== undefined) return err(failure);
    const output = await inputs.prepare(started, connection.signal);
    if (output.isErr() && options.stopDeadline.hasPassed())
      return err(createNotRunFailure('draining', 'this host stopped before the stages ended'));
    return output.map((value) => ({ admitted: started, origin: origin.value, output: value }));
  }

  async function serveAdmitted(
    received: AdmittedRequest,
    connection: CallerConnection,
    request: ActiveRequest,
  ): Promise<ForwardOutcome> {
    const { responder } = request;
    const prepared = await prepare(received, connection);
    if (prepared.isErr()) {
      const sent = sendFailure(prepared.error, received.metadata.requestId, responder, options);
      return { ...sent, servers: [], ...NEVER_FORWARDED };
    }
    const { admitted, origin, output } = prepared.value;
    const { callerRequest, metadata, route, poolId, workspace, rank, suspectIds } = admitted;
    const { hasStarted } = responder;
    const requestInputs = createRequestInputs({
      clock,
      logger,
      preparer: inputs,
      admitted,
      output,
      hasStarted,
    });
    request.progress = 'forwarding';
    const outcome = await forwardToBackend(
      {
        callerRequest,
        metadata,
        route,
        poolId,
        workspaceId: workspace?.workspaceId,
        rank,
        suspectIds,
        origin,
        ...requestInputs.describe(),
        endAt: admitted.endAt,
        streamEndAt: admitted.streamEndAt,
        connection,
        responder,
        renewInputs: requestInputs.renew,
        onInputsRead: requestInputs.free,
      },
      {
        clock,
        logger,
        protocol,
        choose: (request, attemptedIds) => chooser.choose(request, attemptedIds),
        mayChoose: (request, attemptedIds) => chooser.mayChoose(request, attemptedIds),
        checkServers: (group) => chooser.checkServers(group),
        origins: options.origins,
        budget: getRetryBudget(poolId),
        crashes: options.crashes,
        stopDeadline: options.stopDeadline,
        signals: options.signals,
        mayReceive: options.mayReceive,
        metrics: options.relayMetrics,
        onServerReplaced: options.onServerReplaced,
        random,
      },
    );
    requestInputs.free();
    if (outcome.firstEventAt !== undefined) {
      inputs.recordFirstEvent(admitted, outcome.firstEventAt - requestInputs.preparedAt());
    }
    return outcome;
  }

  async function serveRequest(
    callerRequest: CallerRequest,
    metadata: Result<RequestMetadata, Failure>,
    connection: CallerConnection,
    request: ActiveRequest,
  ) {
    const { requestId, responder } = request;
    const admitted = metadata.andThen((parsed) =>
      options.isRejecting()
        ? err(createNotRunFailure('draining', 'this host is stopping'))
        : admitRequest(callerRequest, parsed, options).andThen((request) =>
            limitToStop(request, options.findStopEndAt()),
          ),
    );
    if (admitted.isErr()) {
      const failure = admitted.error;
      sendFailure(failure, requestId, responder, options);
      logger.info('request rejected at admission', {
        requestId,
        reason: failure.reason,
        detail: failure.detail,
        version: configurationTracker.version(),
        confirmedAgeMs: Math.round(
          Math.min(configurationTracker.confirmedAgeMs(), Number.MAX_SAFE_INTEGER),
        ),
      });
      return;
    }
    let disconnectedAt: number | undefined;
    const recordDisconnect = () => (disconnectedAt = clock.now());
    const { signal } = connection;
    signal.addEventListener('abort', recordDisconnect, { once: true });
    const outcome = await serveAdmitted(admitted.value, connection, request);
    signal.removeEventListener('abort', recordDisconnect);
    recordOutcome(admitted.value, outcome, disconnectedAt, options);
  }

  return {
    async serve(callerRequest, responder, connection) {
      const metadata = protocol.parseRequest(callerRequest);
      const requestId = metadata.map((parsed) => parsed.requestId).unwrapOr(undefined);
      await active.run(requestId, responder, (request) =>
        serveRequest(callerRequest, metadata, connection, request),
      );
      return requestId;
    },
    countActive: active.count,
    logCutOff: active.logCutOff,
    getRetryBudget,
    explain: createRouteExplainer({ ...options, chooser, inputs }),
  };
}
