import type { BackendServerId, Execution } from '@endiveferry/base';

import type { RunningCall } from '../servers/createBackends.js';
import type { StreamRelay } from './createStreamRelay.js';
import type { ChosenBackend, ForwardOptions, ForwardRequest } from './ForwardRequest.js';
import type { ListedServer } from '../RelayConfiguration.js';

/** Why this host ended an attempt that its server had not ended. @internal */
export type AbortCause = 'caller-left' | 'deadline' | 'silence' | 'stop';

/** Why a request is not sent to another server. @internal */
export type RetryRefusal =
  | 'attempts'
  | 'budget'
  | 'caller-left'
  | 'crashes'
  | 'deadline'
  | 'final-response'
  | 'inputs'
  | 'no-connection'
  | 'no-server'
  | 'not-repeatable'
  | 'stop';

/** How far the response to one attempt got. @internal */
export interface AttemptProgress {
  /** Whether the status and the headers of the response arrived. */
  hasHead: boolean;
  /** Time at which the request was written; undefined if it was not. */
  sentAt: number | undefined;
  /** Number of events that earlier attempts forwarded. */
  readonly eventsBefore: number;
  /** Set when this host ended the attempt. */
  abortCause: AbortCause | undefined;
  /** Why the attempt goes on although its server is silent; undefined if it is not. */
  notReplaced: RetryRefusal | undefined;
}

/** State of a request while it is forwarded. @internal */
export interface ForwardState {
  /** Replaced when its inputs are renewed. */
  request: ForwardRequest;
  readonly options: ForwardOptions;
  readonly relay: StreamRelay;
  readonly attemptedIds: Set<BackendServerId>;
  sentAttempts: number;
  connectFailures: number;
  execution: Execution;
  firstEventAt: number | undefined;
  /** Time of the first write to a backend server. */
  sentAt: number | undefined;
  /** Time that the current attempt waited for a connection, in milliseconds. */
  connectMs: number | undefined;
  /** How far the current attempt got. */
  attempt: AttemptProgress;
  /** Time of the last event, or of the end of the caller's last pause. */
  lastActiveAt: number;
  running: RunningCall | undefined;
  /** The server of the current attempt, as it was listed when it was chosen. */
  server: ListedServer | undefined;
  /** Whether the stage results that the request reads have been freed. */
  hasFreedInputs: boolean;
  /** Number of times that its stages ran again. */
  inputRenewals: number;
  /** Ends the stages that run again for this request, if they do. */
  cancelRenewal: (() => void) | undefined;
  /** Server of the next attempt, which was chosen before the current one was aborted. */
  replacement: ChosenBackend | undefined;
  /** Servers that were given up for their silence and not allowed again since. */
  readonly silentIds: Set<BackendServerId>;
  /** Set when the request ends without a complete response. */
  retryRefusal: RetryRefusal | undefined;
}

/**
 * Counts the events that the current attempt has forwarded.
 *
 * @param state - the request
 * @returns the number of events
 * @internal
 */
export function countAttemptEvents({ relay, attempt }: ForwardState): number {
  return relay.countEvents() - attempt.eventsBefore;
}

/**
 * Returns the time by which the current attempt must end.
 *
 * @param state - the request
 * @returns the monotonic time, in milliseconds
 * @internal
 */
export function findAttemptEndAt({ request }: Pick<ForwardState, 'request'>): number {
  return request.responder.hasStarted() ? request.streamEndAt : request.endAt;
}
