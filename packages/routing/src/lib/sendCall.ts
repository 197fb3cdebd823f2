import {
  describeError,
  type FailureReason,
  type MemoryBudget,
  type MemoryHolder,
} from '@endiveferry/base';
import { errors, type Dispatcher } from 'undici';

import type { CallIds, IdentifiedOptions } from './createIdentifiedClient.js';
import { createResponseBuffer } from './createResponseBuffer.js';
import type { ReadGate } from './createReadGate.js';
import type { SocketMonitor } from './createSocketMonitor.js';

/** Maximum size of a response that is buffered in memory, in bytes, unless the call has its own. */
const DEFAULT_MAX_RESPONSE_BYTES = 16_000_000;
/** Bounds of the status codes that HTTP defines; a response with another one is invalid. */
const MIN_STATUS = 100;
const MAX_STATUS = 599;
/** Lower status codes are interim responses. */
const FIRST_FINAL_STATUS = 200;

/**
 * One HTTP call to a backend server.
 *
 * @public
 */
export interface Call {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Alternating names and values, which preserves order and repeats; sent instead of `headers`. */
  readonly rawHeaders?: readonly string[];
  /** Ids of which one is sent; requires `rawHeaders`. */
  readonly ids?: CallIds;
  /** Body that is sent as JSON. */
  readonly body?: unknown;
  /** Body that is sent unchanged, instead of `body`. */
  readonly rawBody?: Buffer;
  /** Whether to open a new connection for the call, so that no half-open one can lose it. */
  readonly usesNewConnection?: boolean;
  /** Aborts the call. */
  readonly signal?: AbortSignal;
  /** Checked right before the call is written; the call is not sent if it returns `false`. */
  readonly maySend?: (() => boolean) | undefined;
  /** Maximum size of a response that is not streamed, in bytes. */
  readonly maxResponseBytes?: number;
  /** Called when the call is about to be written to a connection. */
  readonly onSent?: () => void;
  /** Called with each chunk of the body of a streamed response. */
  readonly onData?: (chunk: Buffer) => void;
  /** Returns the number of bytes of a streamed response that the consumer keeps in memory. */
  readonly countKept?: () => number;
  /** Decides whether a response is streamed; defaults to those of status 200 if `onData` is set. */
  readonly onStart?: (start: ResponseStart) => boolean;
}

/** Headers of a request or response, by lower-case name. @public */
export type HttpHeaders = Readonly<Record<string, string | string[] | undefined>>;

/**
 * Status and headers of a response, with control over the rest of it.
 *
 * @public
 */
export interface ResponseStart {
  readonly status: number;
  readonly headers: HttpHeaders;
  /** Stops reading the response, for backpressure from a slower consumer. */
  pause(): void;
  resume(): void;
  /** Closes the connection; the call ends with the result `unknown`. */
  abort(reason: Error): void;
  /** Closes the connection; the call ends as answered, with an empty body. */
  discardBody(): void;
}

/**
 * Result of a call.
 *
 * - `answered`: the complete response arrived, with a status from 200 to 599.
 * - `not-sent`: no part of the call was written to a socket.
 * - `unknown`: the call was written, but no complete response arrived.
 *
 * @public
 */
export type CallResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: HttpHeaders;
      readonly body: Buffer;
    }
  | {
      readonly kind: 'not-sent';
      readonly reason: FailureReason;
      readonly detail: string;
      /** Whether {@link Call.maySend} kept the call from being sent. */
      readonly isWithheld?: boolean;
    }
  | { readonly kind: 'unknown'; readonly reason: FailureReason; readonly detail: string };

/** State that the calls to one server share. @internal */
export interface CallEnvironment {
  /**
   * Watches the sockets. A response without a length that ends while a socket fails is incomplete,
   * although the client library treats it as complete.
   */
  readonly monitor: Pick<SocketMonitor, 'isFailing' | 'recordProgress' | 'findGate'>;
  readonly budget: MemoryBudget;
}

/** Error of a call that this module aborted. */
class CallAbortedError extends Error {
  constructor(
    readonly reason: FailureReason,
    message: string,
  ) {
    super(message);
  }
}

function createHandler(
  call: Call,
  { monitor, budget }: CallEnvironment,
  finish: (result: CallResult) => void,
) {
  const body = createResponseBuffer();
  const maxBytes = call.maxResponseBytes ?? DEFAULT_MAX_RESPONSE_BYTES;
  let wasSent = false;
  let isWithheld = false;
  let status = 0;
  let headers: HttpHeaders = {};
  let isStreamed = false;
  let gate: ReadGate | undefined;
  let abortRequest: ((reason: Error) => void) | undefined;
  const onAbort = () => {
    const detail = 'the call was aborted';
    // Still waiting for a connection: the call is aborted once it gets one, before any write.
    if (abortRequest === undefined) end({ kind: 'not-sent', reason: 'cancelled', detail });
    else abortRequest(new CallAbortedError('cancelled', detail));
  };
  const holder: MemoryHolder = { abort: (reason) => abortRequest?.(reason) };
  const end = (result: CallResult) => {
    budget.release(holder);
    // The next call on the connection has to be able to read.
    gate?.open();
    call.signal?.removeEventListener('abort', onAbort);
    finish(result);
  };
  call.signal?.addEventListener('abort', onAbort, { once: true });

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(controller) {
      abortRequest = (reason) => controller.abort(reason);
      // A second start would write the call a second time.
      if (wasSent) {
        controller.abort(new CallAbortedError('internal', 'the call would have been sent twice'));
        return;
      }
      // Nothing has been written if the call is aborted by now.
      if (call.signal?.aborted === true) onAbort();
      else if (call.maySend?.() === false) {
        const detail = 'this host may no longer run the call';
        isWithheld = true;
        controller.abort(new CallAbortedError('key-unproven', detail));
      } else {
        wasSent = true;
        call.onSent?.();
      }
    },
    onResponseStart(controller, statusCode, responseHeaders) {
      if (statusCode < MIN_STATUS || statusCode > MAX_STATUS) {
        const detail = `the response has the invalid status ${statusCode}`;
        controller.abort(new CallAbortedError('bad-answer', detail));
        return;
      }
      // Interim responses precede the final one.
      if (statusCode < FIRST_FINAL_STATUS) return;
      monitor.recordProgress();
      status = statusCode;
      headers = responseHeaders;
      gate = monitor.findGate();
      const pause = () => gate?.close();
      const resume = () => gate?.open();
      const abort = (reason: Error) => controller.abort(reason);
      const discardBody = () => {
        end({ kind: 'answered', status, headers, body: Buffer.alloc(0) });
        controller.abort(new Error('the body was discarded'));
      };
      isStreamed =
        call.onStart?.({ status, headers, pause, resume, abort, discardBody }) ??
        (call.onData !== undefined && status === 200);
    },
    onResponseData(controller, chunk) {
      monitor.recordProgress();
      if (isStreamed) {
        call.onData?.(chunk);
        if (call.countKept !== undefined) budget.set(holder, call.countKept());
        return;
      }
      if (body.size() + chunk.length > maxBytes) {
        controller.abort(new Error(`the response exceeds ${maxBytes} bytes`));
        return;
      }
      body.append(chunk);
      budget.add(holder, chunk.length);
    },
    onResponseEnd() {
      if (monitor.isFailing()) {
        const detail = 'the connection was reset before the end of the response';
        end({ kind: 'unknown', reason: 'connection-lost', detail });
        return;
      }
      end({ kind: 'answered', status, headers, body: body.read() });
    },
    onResponseError(_controller, error) {
      const abortReason = error instanceof CallAbortedError ? error.reason : undefined;
      const detail = describeError(error);
      if (wasSent) end({ kind: 'unknown', reason: abortReason ?? 'connection-lost', detail });
      else
        end({
          kind: 'not-sent',
          reason: abortReason ?? 'connect-failed',
          detail,
          ...(isWithheld ? { isWithheld } : {}),
        });
    },
  };
  return handler;
}

function buildHeaders({ headers, rawHeaders, body }: Call): Record<string, string> | string[] {
  if (rawHeaders !== undefined) return [...rawHeaders];
  return body === undefined ? { ...headers } : { ...headers, 'content-type': 'application/json' };
}

/**
 * Sends one call and waits for its result. Never rejects and never sends the call twice.
 *
 * @param dispatcher - the connections to the backend server
 * @param call - the call
 * @param environment - see {@link CallEnvironment}
 * @returns the result
 * @public
 */
export function sendCall(
  dispatcher: Dispatcher,
  call: Call,
  environment: CallEnvironment,
): Promise<CallResult> {
  return new Promise((resolve) => {
    if (call.signal?.aborted === true) {
      resolve({
        kind: 'not-sent',
        reason: 'cancelled',
        detail: 'the call was aborted before it was sent',
      });
      return;
    }
    try {
      const options: IdentifiedOptions = {
        method: call.method,
        path: call.path,
        headers: buildHeaders(call),
        body: call.rawBody ?? (call.body === undefined ? null : JSON.stringify(call.body)),
        idempotent: false,
        reset: call.usesNewConnection === true,
        ids: call.ids,
      };
      dispatcher.dispatch(options, createHandler(call, environment, resolve));
    } catch (error) {
      // Dispatching to a closed pool throws before the call is queued.
      const reason = error instanceof errors.InvalidArgumentError ? 'internal' : 'connect-failed';
      resolve({ kind: 'not-sent', reason, detail: describeError(error) });
    }
  });
}
