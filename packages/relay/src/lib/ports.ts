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
import type { ResponseHeaders } from '@endiveferry/routing';
import type { Logger } from '@endiveferry/telemetry';
import type { Result } from 'neverthrow';

import type { ListedServer, PublishedDocument } from './RelayConfiguration.js';
import type { DualTimestamp, DualClock } from './createDualClock.js';

/** One part of a prompt; parts that several requests share have the same id. @public */
export interface PromptPart {
  readonly partId: string;
  readonly tokens: number;
}

/** A caller's request as it came in, whole. @public */
export interface CallerRequest {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  /** Names and values by turns, unchanged. */
  readonly rawHeaders: readonly string[];
  readonly headers: ResponseHeaders;
  readonly body: Buffer;
}

/** What a caller's request says of itself. @public */
export interface RequestMetadata {
  readonly requestId: RequestId;
  readonly host: string;
  /** How long the caller will wait, in milliseconds; undefined when it does not say. */
  readonly remainingMs: number | undefined;
  readonly apiKey: string | undefined;
  /** The last event that the caller has, when it resumes a stream. */
  readonly lastEventId: number | undefined;
  readonly promptParts: readonly PromptPart[];
  /** Pieces of each stage; 0 leaves a stage out. */
  readonly pieceCounts: readonly number[];
  /** What pieces of stages without inputs work on. */
  readonly pieceKey: string | undefined;
}

/** What this system adds to a request on its way to a backend server. @public */
export interface ForwardMetadata {
  readonly remainingMs: number;
  readonly serverId: BackendServerId;
  readonly workspaceId: WorkspaceId | undefined;
  /** 0 is the most urgent; undefined for backend servers without priorities. */
  readonly rank: number | undefined;
  /** Handles of the results that the engine reads; undefined for routes without stages. */
  readonly inputs: readonly string[] | undefined;
  /** Where a broken stream goes on. */
  readonly resumeAfter: number | undefined;
}

/** The load that a backend server reports. @public */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What an answer's status and headers say. @public */
export interface ResponseMetadata {
  /** The server promises that it did not run the request. */
  readonly isRejection: boolean;
  /** Another server has this address now. */
  readonly isMisdirected: boolean;
  /** A result that the request reads is gone, so the request was not run. */
  readonly isInputLost: boolean;
  /** The answer is signed by the server that made it. */
  readonly isSigned: boolean;
  /** The request that the answer names; undefined when it names none. */
  readonly requestId: string | undefined;
  readonly load: ReportedLoad | undefined;
  readonly isEventStream: boolean;
}

/** One piece of a stage's work. @public */
export interface PieceRequest {
  readonly requestId: RequestId;
  readonly stageIndex: number;
  readonly pieceIndex: number;
  readonly remainingMs: number;
  /** Set for stages without inputs. */
  readonly key: string | undefined;
  /** Handles of all results that the piece needs. */
  readonly inputs: readonly string[] | undefined;
}

/** Why a piece brought no result. @public */
export type PieceFailure = 'late' | 'input-gone' | 'no-room' | 'error';

/** What became of a piece. @public */
export type PieceOutcome =
  | { readonly kind: 'made'; readonly handle: string }
  | { readonly kind: 'failed'; readonly reason: PieceFailure };

/** A call to a backend server, put in its words. @public */
export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly rawBody: Buffer;
}

/** A final answer of this system's own. @public */
export interface CallerResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** How callers and backend servers speak. @public */
export interface WireProtocol {
  parseRequest(call: CallerRequest): Result<RequestMetadata, Failure>;
  /** Puts a failure into words for the caller. */
  buildFailureResponse(failure: Failure, requestId: RequestId | undefined): CallerResponse;
  /** The request's headers for a backend server. */
  buildForwardHeaders(call: CallerRequest, facts: ForwardMetadata): string[];
  parseResponse(status: number, headers: ResponseHeaders): ResponseMetadata;
  /** The answer's headers for the caller, names and values by turns. */
  buildResponseHeaders(headers: ResponseHeaders): string[];
  buildPiecesRequest(serverId: BackendServerId, pieces: readonly PieceRequest[]): BackendRequest;
  /** Undefined when the body is not an answer to that many pieces. */
  parsePiecesResponse(body: Buffer, count: number): readonly PieceOutcome[] | undefined;
  buildFreeRequest(serverId: BackendServerId, handles: readonly string[]): BackendRequest;
  /** Reads a configuration that another host passed on. */
  parseDocument(text: string): Result<PublishedDocument, string>;
}

/** What this host learns from the store; every call names what was read and when it was asked for. @public */
export interface StoreListener {
  /** The newest configuration was read; it was in force at `askedAt`. */
  onConfiguration(document: PublishedDocument, askedAt: DualTimestamp): void;
  /** The whole list was read. */
  onServerList(servers: readonly ListedServer[], revision: number): void;
  /** Entries changed: servers written, and ids removed. */
  onServerChanges(changes: readonly ServerChange[], revision: number): void;
  /** One kind of reading, `what`, works again, or no longer. */
  onReachabilityChange(what: string, isReached: boolean, detail: string): void;
}

/** One change of the list of backend servers. @public */
export type ServerChange =
  | { readonly kind: 'written'; readonly server: ListedServer }
  | { readonly kind: 'removed'; readonly serverId: BackendServerId };

/** What a reader of the store is started with. @public */
export interface StoreReaderOptions {
  readonly clock: Clock;
  readonly dualClock: DualClock;
  readonly random: Random;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
  readonly listener: StoreListener;
  /** Time since the configuration was last confirmed, by the store or through another host, in milliseconds. */
  readonly confirmedAgeMs: () => number;
}

/** Where this process stands, and what it may use; all but addresses may change while it runs. @public */
export interface HostEnvironment {
  readonly hostName: string;
  readonly ip: string;
  readonly availabilityZone: AvailabilityZoneId;
  readonly callersAddress: string;
  readonly readinessAddress: string;
  readonly peersAddress: string;
  readonly seeds: readonly string[];
  /** What this process gets of a processor, in cores. */
  readonly cores: number;
  /** Bandwidth of the host's link, in Mbit/s. */
  readonly linkMbps: number;
  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  readonly graceMs: number;
  /** Longest time for which a key may be honoured after it was taken away, in milliseconds. */
  readonly revocationMs: number;
  /** Share of a pool's requests that may be sent once more, over all hosts. */
  readonly retryShare: number;
  /** Repeats that all hosts together may send beyond that share. */
  readonly retrySlack: number;
}
