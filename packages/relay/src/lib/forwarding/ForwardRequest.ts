import type { RetryBudget } from '@endiveferry/admission';
import type {
  BackendServerId,
  Clock,
  Failure,
  PoolId,
  Random,
  WorkspaceId,
} from '@endiveferry/base';
import type { CrashTracker } from '@endiveferry/routing';
import type { Logger } from '@endiveferry/telemetry';

import type { RetryRefusal } from './ForwardState.js';
import type { CallerConnection } from '../CallerConnection.js';
import type { InputBytes } from '../servers/chooseBackend.js';
import type { Backend } from '../servers/createBackends.js';
import type { RelayMetrics } from '../createRelayMetrics.js';
import type { ServerSignals } from '../servers/createServerSignals.js';
import type { StopDeadline } from '../createStopDeadline.js';
import type { SuspectIds } from './createSuspectIds.js';
import type { RequestMetadata, CallerRequest, WireProtocol } from '../ports.js';
import type { ListedServer, Route } from '../RelayConfiguration.js';
import type { Responder } from '../Responder.js';
import type { StreamOrigins } from '../streams/createStreamOrigins.js';
import type { StreamOrigin } from '../StreamOrigin.js';

/** The servers that may serve a request. @internal */
export interface BackendGroup {
  readonly poolId: PoolId;
  /** Set for a stream that has begun: only servers of its software version can continue it. */
  readonly origin: StreamOrigin | undefined;
}

/** The stage results that the engine reads. @public */
export type EngineInputs = Pick<ForwardRequest, 'inputs' | 'inputBytes'>;

/** A request that is ready to be sent to a backend server. @public */
export interface ForwardRequest {
  readonly callerRequest: CallerRequest;
  readonly metadata: RequestMetadata;
  readonly route: Route;
  readonly poolId: PoolId;
  readonly workspaceId: WorkspaceId | undefined;
  readonly rank: number;
  readonly suspectIds: SuspectIds;
  /** Where its stream began; undefined before its first event. */
  readonly origin: StreamOrigin | undefined;
  /** Handles of the stage results that the engine reads; undefined for routes without stages. */
  readonly inputs: readonly string[] | undefined;
  /** Sizes of the inputs, by availability zone. */
  readonly inputBytes: readonly InputBytes[];
  /** Monotonic time by which the response must have started, in milliseconds. */
  readonly endAt: number;
  /** Monotonic time by which a stream that has started must end, in milliseconds. */
  readonly streamEndAt: number;
  readonly connection: CallerConnection;
  readonly responder: Responder;
  /** Runs the stages again until a signal aborts; resolves to undefined when that fails. */
  readonly renewInputs: (signal: AbortSignal) => Promise<EngineInputs | undefined>;
  /** Called each time a backend server has read all inputs, so that they can be freed. */
  readonly onInputsRead: () => void;
}

/** Options of `forwardToBackend`. @public */
export interface ForwardOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly protocol: WireProtocol;
  /** Chooses the backend server of the next attempt; returns undefined when none is usable. */
  readonly choose: (
    request: ForwardRequest,
    attemptedIds: ReadonlySet<BackendServerId>,
  ) => ChosenBackend | undefined;
  /** Returns whether {@link ForwardOptions.choose} would choose a server; changes nothing. */
  readonly mayChoose: (
    request: ForwardRequest,
    attemptedIds: ReadonlySet<BackendServerId>,
  ) => boolean;
  readonly origins: Pick<StreamOrigins, 'recordBegin'>;
  /** Returns why no server of a group takes requests now; undefined if one may. */
  readonly checkServers: (group: BackendGroup) => Failure | undefined;
  readonly budget: RetryBudget;
  readonly crashes: CrashTracker;
  readonly stopDeadline: StopDeadline;
  readonly signals: ServerSignals;
  /** Whether a server, as it was listed when it was chosen, may still get new requests. */
  readonly mayReceive: (server: ListedServer) => boolean;
  readonly metrics: Pick<RelayMetrics, 'recordBrokenStream' | 'recordCutStream'>;
  /** Source of the jitter in retry delays. */
  readonly random: Random;
  /** Called when the address of a server turns out to belong to another server. */
  readonly onServerReplaced: (serverId: BackendServerId) => void;
}

/** A chosen backend server. @public */
export interface ChosenBackend {
  readonly backend: Backend;
  /** Prompt tokens of the request that the server has not cached. */
  readonly promptTokens: number;
}

/** Outcome of a forwarded request. @public */
export interface ForwardOutcome {
  /** Undefined when the caller received a backend server's response. */
  readonly failure: Failure | undefined;
  readonly status: number | undefined;
  /** Backend servers at which the request was attempted, in order. */
  readonly servers: readonly BackendServerId[];
  /**
   * Monotonic time at which the first event was forwarded, in milliseconds; undefined if none was.
   */
  readonly firstEventAt: number | undefined;
  /**
   * Monotonic time at which the request was first written to a backend server, in milliseconds;
   * undefined if it never was.
   */
  readonly sentAt: number | undefined;
  /** Why it was not sent to another server; undefined when it was complete or never sent. */
  readonly retryRefusal: RetryRefusal | undefined;
}
