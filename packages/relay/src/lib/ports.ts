// Ports of the relay: the interfaces to the wire protocol, the store and the host that it runs on,
// which other packages implement.

import type {
  AvailabilityZoneId,
  BackendServerId,
  Clock,
  Failure,
  Random,
  RequestId,
  Supervisor,
  WorkspaceId,
} from '@endiveferry/base';
import type { HttpHeaders } from '@endiveferry/routing';
import type { Logger } from '@endiveferry/telemetry';
import type { Result } from 'neverthrow';

import type { ListedServer, PublishedDocument } from './RelayConfiguration.js';
import type { DualTimestamp, DualClock } from './createDualClock.js';
import type { StorePosition } from './StorePosition.js';

/** One part of a prompt; requests that share a part use the same id for it. @public */
export interface PromptPart {
  readonly partId: string;
  readonly tokens: number;
}

/** A caller's complete request as received. @public */
export interface CallerRequest {
  readonly method: string;
  /** Path and query string, unchanged. */
  readonly target: string;
  /** Alternating names and values, unchanged. */
  readonly rawHeaders: readonly string[];
  readonly headers: HttpHeaders;
  readonly body: Buffer;
}

/** Metadata parsed from the headers of a caller's request. @public */
export interface RequestMetadata {
  readonly requestId: RequestId;
  readonly host: string;
  /** Time that the caller still waits, in milliseconds; undefined when it sends no deadline. */
  readonly remainingMs: number | undefined;
  readonly apiKey: string | undefined;
  /** Id of the last event that the caller received; set when it resumes a stream. */
  readonly lastEventId: number | undefined;
  /** Id of the request that brought the first event of the stream that it resumes. */
  readonly resumedRequestId: RequestId | undefined;
  readonly promptParts: readonly PromptPart[];
  /** Number of pieces of each stage; 0 skips the stage. */
  readonly pieceCounts: readonly number[];
  /** Key of the work item; for the pieces of stages that read no results of other stages. */
  readonly pieceKey: string | undefined;
}

/** Metadata that a host adds to a request when it forwards it to a backend server. @public */
export interface ForwardMetadata {
  readonly remainingMs: number;
  readonly serverId: BackendServerId;
  readonly workspaceId: WorkspaceId | undefined;
  /** 0 is the most urgent; undefined for backend servers without priorities. */
  readonly rank: number | undefined;
  /** Handles of the stage results that the engine reads; undefined for routes without stages. */
  readonly inputs: readonly string[] | undefined;
  /** Id of the last event forwarded, after which an interrupted stream resumes. */
  readonly resumeAfter: number | undefined;
}

/** The load that a backend server reports. @public */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How much longer than usual work takes on its machine now, 1 being usual; at most 10. */
  readonly slowdown?: number;
}

/** Metadata parsed from the status and headers of a response. @public */
export interface ResponseMetadata {
  /** Whether the server guarantees that it did not run the request. */
  readonly isRejection: boolean;
  /** Whether the address now belongs to another server. */
  readonly isMisdirected: boolean;
  /** Whether the request was not run because a stage result that it reads no longer exists. */
  readonly isInputLost: boolean;
  /** Whether the response is signed by the server that produced it. */
  readonly isSigned: boolean;
  /** Request id in the response; undefined when it has none. */
  readonly requestId: string | undefined;
  readonly load: ReportedLoad | undefined;
  /**
   * Requests a second that the server takes from all hosts together; undefined without a limit.
   */
  readonly perSecondLimit: number | undefined;
  /**
   * Time for which the server wants no requests from this host, in milliseconds; undefined unless it
   * rejected the request and names a time.
   */
  readonly backoffMs: number | undefined;
  /**
   * Time for which the server says that it stays cold, in milliseconds; undefined when it does not
   * say. A value that cannot be read is the longest time.
   */
  readonly warmUpLeftMs?: number | undefined;
  /** Whether the server says that it leaves, so that it is to get no new requests. */
  readonly isLeaving: boolean;
  readonly isEventStream: boolean;
  /** Headers in which the server says something of itself that cannot be read, as NAME: VALUE. */
  readonly malformedHeaders: readonly string[];
}

/** A request to run one piece of a stage. @public */
export interface PieceRequest {
  readonly requestId: RequestId;
  readonly stageIndex: number;
  readonly pieceIndex: number;
  readonly remainingMs: number;
  /** Key of the work item; set for stages that read no results of other stages. */
  readonly key: string | undefined;
  /** Handles of all stage results that the piece reads. */
  readonly inputs: readonly string[] | undefined;
}

/**
 * Reason why a piece produced no result.
 *
 * - `late`: it reached the server after its deadline.
 * - `input-gone`: a stage result that it reads no longer exists.
 * - `no-room`: the server has no free memory for its result.
 * - `error`: any other failure.
 *
 * @public
 */
export type PieceFailure = 'late' | 'input-gone' | 'no-room' | 'error';

/** Outcome of a piece. @public */
export type PieceOutcome =
  | { readonly kind: 'made'; readonly handle: string }
  | { readonly kind: 'failed'; readonly reason: PieceFailure };

/**
 * Outcome of a batched call to a replica: the outcomes of its pieces, no free slot, a call that was
 * not sent because the replica gets no new pieces any more, an address that now belongs to another
 * server, or a failure of the call.
 *
 * @public
 */
export type BatchOutcome =
  | {
      readonly kind: 'answered';
      readonly outcomes: readonly PieceOutcome[];
      /** See {@link ReportedLoad}. */
      readonly slowdown?: number | undefined;
    }
  | { readonly kind: 'full'; readonly slowdown?: number | undefined }
  | { readonly kind: 'withheld' }
  | { readonly kind: 'gone' }
  | { readonly kind: 'failed'; readonly detail: string };

/** A request encoded for a backend server. @public */
export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly rawBody: Buffer;
}

/** A complete response to a caller. @public */
export interface CallerResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Encodes and decodes the messages exchanged with callers and backend servers. @public */
export interface WireProtocol {
  /** Name of the header with the id of a request, which servers echo. */
  readonly requestIdHeader: string;
  parseRequest(request: CallerRequest): Result<RequestMetadata, Failure>;
  /** Encodes a failure for the caller. */
  buildFailureResponse(failure: Failure, requestId: RequestId | undefined): CallerResponse;
  /** Returns the headers of a forwarded request, alternating names and values. */
  buildForwardHeaders(request: CallerRequest, metadata: ForwardMetadata): string[];
  parseResponse(status: number, headers: HttpHeaders): ResponseMetadata;
  /** Returns the headers of a response to the caller, alternating names and values. */
  buildResponseHeaders(headers: HttpHeaders): string[];
  buildPiecesRequest(serverId: BackendServerId, pieces: readonly PieceRequest[]): BackendRequest;
  /** Returns one outcome per piece; undefined when the body does not hold `count` outcomes. */
  parsePiecesResponse(body: Buffer, count: number): readonly PieceOutcome[] | undefined;
  buildFreeRequest(serverId: BackendServerId, handles: readonly string[]): BackendRequest;
  /** Decodes a configuration document received from another host. */
  parseDocument(text: string): Result<PublishedDocument, string>;
}

/** One write or removal of the request to evacuate an availability zone. @public */
export interface EvacuationChange {
  readonly availabilityZone: AvailabilityZoneId;
  readonly isEvacuated: boolean;
  readonly revision: number;
}

/** Receives the data that this host reads from the store. @public */
export interface StoreListener {
  /** Called with the epoch of each response, and the store's revision if the response has it. */
  onResponse(epoch: number, revision: number | undefined): void;
  /** Called with the configuration that the store shows, and where its entry was written. */
  onConfiguration(
    document: PublishedDocument,
    position: StorePosition,
    requestedAt: DualTimestamp,
  ): void;
  /** Called with the full list of backend servers. */
  onServerList(servers: readonly ListedServer[], position: StorePosition): void;
  /** Called with incremental changes of the list: entries written and ids removed. */
  onServerChanges(changes: readonly ServerChange[], position: StorePosition): void;
  /** Called with all requests to evacuate an availability zone that the store has. */
  onEvacuations(requests: readonly EvacuationChange[], position: StorePosition): void;
  /** Called with incremental changes of these requests, which may be none. */
  onEvacuationChanges(changes: readonly EvacuationChange[], position: StorePosition): void;
  /** Called with servers that were listed before, which is known for the past `knownMs`. */
  onPastServers(servers: readonly ListedServer[], knownMs: number): void;
  /** Called when reads of the kind `what` start to fail or succeed again. */
  onReachabilityChange(what: string, isReachable: boolean, detail: string): void;
}

/** One change of the list of backend servers. @public */
export type ServerChange =
  | { readonly kind: 'written'; readonly server: ListedServer }
  | { readonly kind: 'removed'; readonly serverId: BackendServerId };

/**
 * Decides when this host reads the configuration from the store. Each call counts against a rate of
 * all hosts together, and in a large fleet at rest almost all calls are confirmations and watches
 * that tell each host the same.
 *
 * @public
 */
export interface StoreReading {
  /** Returns the age from which this host renews its confirmation, in milliseconds. */
  readonly findConfirmAgeMs: () => number;
  /** Whether this host watches the configuration, for others or because it hears nothing of it. */
  readonly isWatching: () => boolean;
  /**
   * Records a response to a watch of the backend servers, and returns the delay until the next one, in
   * milliseconds. Changes in quick succession then arrive in fewer responses.
   */
  readonly recordServerChanges: (count: number) => number;
  /** Returns the longest time for which one watch may stay open, in milliseconds. */
  readonly findWatchMs: () => number;
}

/** Options of a store reader. @public */
export interface StoreReaderOptions {
  readonly clock: Clock;
  readonly dualClock: DualClock;
  readonly random: Random;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
  readonly listener: StoreListener;
  /**
   * Returns the time since the store or another host last confirmed the configuration, in
   * milliseconds.
   */
  readonly confirmedAgeMs: () => number;
  /** Decides when the configuration is read. */
  readonly reading: StoreReading;
}
