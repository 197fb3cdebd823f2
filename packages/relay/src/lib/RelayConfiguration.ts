import type {
  AvailabilityZoneId,
  BackendServerId,
  PipelineId,
  PoolId,
  SoftwareVersion,
  WorkspaceId,
} from '@endiveferry/base';

/**
 * How a route's requests may be run.
 *
 * - `idempotent`: may run more than once.
 * - `non-idempotent`: runs at most once.
 * - `streaming`: responds with an event stream; runs at most once unless the route is resumable.
 *
 * @public
 */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'streaming';

/** One stage of a route's pipeline. @public */
export interface RouteStage {
  readonly poolId: PoolId;
  /** Indexes of the stages whose results it depends on. */
  readonly after: readonly number[];
  /** Approximate size of one result, in bytes. */
  readonly resultBytes: number;
}

/** A pool with its share of a route's traffic. @public */
export interface WeightedPool {
  readonly poolId: PoolId;
  readonly weight: number;
}

/** How requests for one host name and path prefix are served. @public */
export interface Route {
  readonly pipelineId: PipelineId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time until a caller gets a response, in milliseconds. */
  readonly timeoutMs: number;
  /** Target latency of a response, in milliseconds; for streams, of the first event. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent; orders requests whose workspaces have the same rank. */
  readonly rank: number;
  readonly pools: readonly WeightedPool[];
  /** Maximum number of backend servers that one request is sent to. */
  readonly maxAttempts: number;
  readonly stages: readonly RouteStage[];
  /** Accepts requests without an API key. */
  readonly isPublic: boolean;
  /** An interrupted stream may be resumed at another backend server. */
  readonly isResumable: boolean;
}

/** Capacity of one replica in the pool of a stage. @public */
export interface StageCapacity {
  /** Maximum number of concurrent calls. */
  readonly slots: number;
  /** Maximum number of pieces in one call. */
  readonly batch: number;
  /** Fixed duration of a call, in milliseconds. */
  readonly callMs: number;
  /** Additional duration per piece, in milliseconds. */
  readonly pieceMs: number;
  /** Memory for stage results, in bytes. */
  readonly resultMemoryBytes: number;
  /** How long a result is kept after its call, in milliseconds. */
  readonly resultTtlMs: number;
}

/** Capacity of one model engine. @public */
export interface EngineCapacity {
  /** Maximum number of requests in one batch. */
  readonly slots: number;
  /** Memory for prompts and generated tokens, in tokens. */
  readonly memoryTokens: number;
}

/** How the servers of a pool start. @public */
export interface PoolWarmUp {
  /** Time for which a server is cold after its start, in milliseconds. */
  readonly durationMs: number;
  /** Requests a second that a cold server can handle, of all hosts together. */
  readonly perSecond: number;
}

/** A pool of interchangeable backend servers. @public */
export interface RelayPool {
  readonly poolId: PoolId;
  readonly healthPath: string;
  /** Connections that one backend server accepts in total. */
  readonly maxConnections: number;
  readonly stage?: StageCapacity;
  readonly engine?: EngineCapacity;
  /** Undefined for servers that handle their full rate from the start. */
  readonly warmUp?: PoolWarmUp;
}

/** A workspace with its API keys. @public */
export interface RelayWorkspace {
  readonly workspaceId: WorkspaceId;
  readonly keys: readonly string[];
  /** Takes precedence over the route's rank; 0 is the most urgent. */
  readonly rank?: number;
}

/** Size and time limits of callers' requests. @public */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One complete version of the configuration. @public */
export interface RelayConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: ReadonlyMap<PoolId, RelayPool>;
  /** Undefined when requests need no API key. */
  readonly workspaces: readonly RelayWorkspace[] | undefined;
  readonly limits: CallerLimits;
}

/** A configuration with its source text, which hosts forward unchanged. @public */
export interface PublishedDocument {
  readonly configuration: RelayConfiguration;
  readonly text: string;
}

/** A registered backend server. @public */
export interface ListedServer {
  readonly serverId: BackendServerId;
  readonly poolId: PoolId;
  readonly address: string;
  readonly availabilityZone: AvailabilityZoneId;
  readonly slots: number;
  /** Gets no new requests. */
  readonly isLeaving: boolean;
  /** Version of its software; undefined for a server that names none. */
  readonly softwareVersion?: SoftwareVersion | undefined;
  /**
   * Unix time of its start, in milliseconds, which tells a server that started again under its id;
   * undefined for a server that names none.
   */
  readonly startedAt?: number | undefined;
  /**
   * Time for which it stays cold, in milliseconds, counted from when its entry was received; undefined
   * when the entry does not say.
   */
  readonly warmUpLeftMs?: number | undefined;
  /** Whether its availability zone is evacuated, so that nothing may be sent to it. */
  readonly isEvacuated?: boolean;
}

/**
 * Checks whether requests of a route may run more than once.
 *
 * @param route - the route
 * @returns whether a request may be repeated, from the start or from where its stream was
 *   interrupted
 * @public
 */
export function isRepeatable(route: Pick<Route, 'kind' | 'isResumable'>): boolean {
  return route.kind === 'idempotent' || (route.kind === 'streaming' && route.isResumable);
}
