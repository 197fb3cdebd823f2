import type { RetryBudget } from '@endiveferry/admission';
import type {
  BackendServerId,
  Clock,
  Failure,
  PoolId,
  Random,
  WorkspaceId,
} from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';

import type { InputBytes } from './chooseBackend.js';
import type { Backend } from './createBackends.js';
import type { RequestMetadata, CallerRequest, WireProtocol } from './ports.js';
import type { Route } from './RelayConfiguration.js';
import type { Responder } from './Responder.js';

/** The results of a route's stages, made once more. @public */
export type RenewedInputs = Pick<ForwardRequest, 'inputs' | 'inputBytes'>;

/** A request that is ready to be sent to a backend server. @public */
export interface ForwardRequest {
  readonly call: CallerRequest;
  readonly metadata: RequestMetadata;
  readonly route: Route;
  readonly poolId: PoolId;
  readonly workspaceId: WorkspaceId | undefined;
  readonly rank: number;
  readonly inputs: readonly string[] | undefined;
  /** Where the inputs lie. */
  readonly inputBytes: readonly InputBytes[];
  /** Monotonic time at which an answer must have begun, in milliseconds. */
  readonly endAt: number;
  /** Monotonic time at which a stream that has begun must be over, in milliseconds. */
  readonly streamEndAt: number;
  /** Aborts when the caller leaves. */
  readonly signal: AbortSignal;
  readonly responder: Responder;
  /** Makes the inputs once more, because some are gone; undefined when that is of no use. */
  readonly renewInputs: () => Promise<RenewedInputs | undefined>;
  /** Called when a backend server has read all inputs. */
  readonly onInputsRead: () => void;
}

/** What forwarding needs of the rest. @public */
export interface ForwardPorts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly protocol: WireProtocol;
  readonly choose: (
    request: ForwardRequest,
    tried: ReadonlySet<BackendServerId>,
  ) => ChosenBackend | undefined;
  readonly budget: RetryBudget;
  readonly random: Random;
  readonly onMisdirected: (serverId: BackendServerId) => void;
}

/** A backend server with the prompt tokens that it has to read for the request. @public */
export interface ChosenBackend {
  readonly backend: Backend;
  readonly promptTokens: number;
}

/** How a request was answered. @public */
export interface ForwardOutcome {
  /** Undefined when the caller got a backend server's answer. */
  readonly failure: Failure | undefined;
  readonly status: number | undefined;
  readonly servers: readonly BackendServerId[];
  /** Monotonic time of the first event passed on, in milliseconds; undefined without one. */
  readonly firstEventAt: number | undefined;
}
