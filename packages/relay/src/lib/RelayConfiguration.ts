import type {
  AvailabilityZoneId,
  BackendServerId,
  PipelineId,
  PoolId,
  WorkspaceId,
} from '@endiveferry/base';

/**
 * What a route's requests allow.
 *
 * - `idempotent`: a second run does no harm.
 * - `non-idempotent`: runs at most once.
 * - `streaming`: answered by events; runs at most once unless the route is resumable.
 *
 * @public
 */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'streaming';

/** One stage of a route's pipeline. @public */
export interface RouteStage {
  readonly poolId: PoolId;
  /** Indexes of the stages whose results it needs. */
  readonly after: readonly number[];
  /** Approximate size of one result, in bytes. */
  readonly resultBytes: number;
}

/** One of the pools that a route is split over. @public */
export interface WeightedPool {
  readonly poolId: PoolId;
  readonly weight: number;
}

/** How requests of one host name and path prefix are served. @public */
export interface Route {
  readonly pipelineId: PipelineId;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer is worth the most, in milliseconds; for streams, to the first event. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent; decides among requests of workspaces of one rank. */
  readonly rank: number;
  readonly pools: readonly WeightedPool[];
  /** Backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  readonly stages: readonly RouteStage[];
  /** Needs no key. */
  readonly isPublic: boolean;
  /** A stream that broke off may go on at another backend server. */
  readonly isResumable: boolean;
}

/** What one replica of a stage's pool can do. @public */
export interface StageCapacity {
  /** Calls at a time. */
  readonly slots: number;
  /** Pieces in one call. */
  readonly batch: number;
  /** Fixed time of a call, in milliseconds. */
  readonly callMs: number;
  /** Time of one piece, in milliseconds. */
  readonly pieceMs: number;
  /** Room for results, in bytes. */
  readonly resultMemoryBytes: number;
  /** How long a result is kept after its call, in milliseconds. */
  readonly resultTtlMs: number;
}

/** What one model engine can do. @public */
export interface EngineCapacity {
  /** Requests in one batch. */
  readonly slots: number;
  /** Memory for prompts and generated tokens, in tokens. */
  readonly memoryTokens: number;
}

/** Interchangeable backend servers. @public */
export interface RelayPool {
  readonly poolId: PoolId;
  readonly healthPath: string;
  /** Connections that one backend server accepts from all callers together. */
  readonly maxConnections: number;
  readonly stage?: StageCapacity;
  readonly engine?: EngineCapacity;
}

/** A customer with its keys. @public */
export interface RelayWorkspace {
  readonly workspaceId: WorkspaceId;
  readonly keys: readonly string[];
  /** Goes before the route's rank; 0 is the most urgent. */
  readonly rank?: number;
}

/** What callers may send, and how long they may take. @public */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One whole version of the configuration. @public */
export interface RelayConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: ReadonlyMap<PoolId, RelayPool>;
  /** Undefined when requests need no key. */
  readonly workspaces: readonly RelayWorkspace[] | undefined;
  readonly limits: CallerLimits;
}

/** A configuration with the text that it was read from, which hosts pass on unchanged. @public */
export interface PublishedDocument {
  readonly configuration: RelayConfiguration;
  readonly text: string;
}

/** One backend server as the list names it. @public */
export interface ListedServer {
  readonly serverId: BackendServerId;
  readonly poolId: PoolId;
  readonly address: string;
  readonly availabilityZone: AvailabilityZoneId;
  readonly slots: number;
  /** Gets no new work. */
  readonly isLeaving: boolean;
}

/**
 * Tells whether a second run of a route's request does no harm.
 *
 * @param route - the route
 * @returns whether a request may run again, whole or from where its stream broke off
 * @public
 */
export function isRepeatable(route: Route): boolean {
  return route.kind === 'idempotent' || (route.kind === 'streaming' && route.isResumable);
}
