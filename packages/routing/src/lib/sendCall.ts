import { describeError, type FailureReason } from '@endiveferry/base';
import { errors, type Dispatcher } from 'undici';

/** Longest answer that is kept in memory, in bytes. */
const MAX_ANSWER_BYTES = 16_000_000;
/** Lower statuses are interim answers. */
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
  /** Names and values by turns, which keeps repeats and their order; sent in place of `headers`. */
  readonly rawHeaders?: readonly string[];
  /** What is sent as JSON. */
  readonly body?: unknown;
  /** Bytes that are sent unchanged, in place of `body`. */
  readonly rawBody?: Buffer;
  /** Opens a connection of its own, so that no half-open one can swallow the call. */
  readonly usesOwnConnection?: boolean;
  /** Aborts the call. */
  readonly signal?: AbortSignal;
  /** Asked right before the call is written; `false` keeps it from being written. */
  readonly maySend?: (() => boolean) | undefined;
  /** Called with each piece of the answer's body, when the answer is to be streamed. */
  readonly onData?: (chunk: Buffer) => void;
  /** Tells by its status and headers whether an answer is streamed; without it, those of status 200. */
  readonly onStart?: (start: ResponseStart) => boolean;
}

/** The headers of an answer, by name in lower case. @public */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/**
 * The beginning of an answer.
 *
 * @public
 */
export interface ResponseStart {
  readonly status: number;
  readonly headers: ResponseHeaders;
  /** Stops reading the answer, because whoever takes it is slower. */
  pause(): void;
  resume(): void;
  /** Drops the connection; the call ends as one whose fate is unknown. */
  abort(reason: Error): void;
}

/**
 * How a call ended.
 *
 * - `answered`: the whole answer arrived, whatever its status.
 * - `not-sent`: nothing of the call was ever handed to a socket.
 * - `unknown`: it was handed over and no whole answer came.
 *
 * @public
 */
export type CallResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: ResponseHeaders;
      readonly body: Buffer;
    }
  | { readonly kind: 'not-sent'; readonly reason: FailureReason; readonly detail: string }
  | { readonly kind: 'unknown'; readonly reason: FailureReason; readonly detail: string };

/** A call that this module ended itself, and why. */
class CallAbortedError extends Error {
  constructor(
    readonly reason: FailureReason,
    message: string,
  ) {
    super(message);
  }
}

function createHandler(call: Call, isFailing: () => boolean, finish: (result: CallResult) => void) {
  const chunks: Buffer[] = [];
  let wasSent = false;
  let status = 0;
  let headers: ResponseHeaders = {};
  let size = 0;
  let isStreamed = false;
  let abortRequest: ((reason: Error) => void) | undefined;
  const onAbort = () => {
    const detail = 'the call was aborted';
    // Still waiting for a connection: when it gets one, it is aborted before a byte is written.
    if (abortRequest === undefined) end({ kind: 'not-sent', reason: 'cancelled', detail });
    else abortRequest(new CallAbortedError('cancelled', detail));
  };
  const end = (result: CallResult) => {
    call.signal?.removeEventListener('abort', onAbort);
    finish(result);
  };
  call.signal?.addEventListener('abort', onAbort, { once: true });

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(controller) {
      abortRequest = (reason) => controller.abort(reason);
      // A second start would be a second write; the call was already handed over once.
      if (wasSent) {
        controller.abort(new CallAbortedError('internal', 'the call would have been sent twice'));
        return;
      }
      // An abort before this point means that nothing was written.
      if (call.signal?.aborted === true) onAbort();
      else if (call.maySend?.() === false) {
        const detail = 'this host may no longer run the call';
        controller.abort(new CallAbortedError('key-unproven', detail));
      } else wasSent = true;
    },
    onResponseStart(controller, statusCode, responseHeaders) {
      // An interim answer comes before the real one.
      if (statusCode < FIRST_FINAL_STATUS) return;
      status = statusCode;
      headers = responseHeaders;
      const pause = () => controller.pause();
      const resume = () => controller.resume();
      const abort = (reason: Error) => controller.abort(reason);
      isStreamed =
        call.onStart?.({ status, headers, pause, resume, abort }) ??
        (call.onData !== undefined && status === 200);
    },
    onResponseData(controller, chunk) {
      if (isStreamed) {
        call.onData?.(chunk);
        return;
      }
      size += chunk.length;
      if (size > MAX_ANSWER_BYTES) {
        controller.abort(new Error(`the answer is longer than ${MAX_ANSWER_BYTES} bytes`));
      } else {
        chunks.push(chunk);
      }
    },
    onResponseEnd() {
      if (isFailing()) {
        const detail = 'the connection was reset before the end of the answer';
        end({ kind: 'unknown', reason: 'connection-lost', detail });
        return;
      }
      end({ kind: 'answered', status, headers, body: Buffer.concat(chunks) });
    },
    onResponseError(_controller, error) {
      const abortReason = error instanceof CallAbortedError ? error.reason : undefined;
      const detail = describeError(error);
      if (wasSent) end({ kind: 'unknown', reason: abortReason ?? 'connection-lost', detail });
      else end({ kind: 'not-sent', reason: abortReason ?? 'connect-failed', detail });
    },
  };
  return handler;
}

function buildHeaders({ headers, rawHeaders, body }: Call): Record<string, string> | string[] {
  if (rawHeaders !== undefined) return [...rawHeaders];
  return body === undefined ? { ...headers } : { ...headers, 'content-type': 'application/json' };
}

/**
 * Sends one call and waits for its end. It never throws and never sends twice.
 *
 * @param dispatcher - the connections to the backend server
 * @param call - the call
 * @param isFailing - whether an error of a connection is being handled: an answer without a length
 *   that ends then is not whole, though the client library takes it for that
 * @returns how it ended
 * @public
 */
export function sendCall(
  dispatcher: Dispatcher,
  call: Call,
  isFailing: () => boolean = () => false,
): Promise<CallResult> {
  return new Promise((resolve) => {
    if (call.signal?.aborted === true) {
      resolve({ kind: 'not-sent', reason: 'cancelled', detail: 'aborted before it was sent' });
      return;
    }
    try {
      dispatcher.dispatch(
        {
          method: call.method,
          path: call.path,
          headers: buildHeaders(call),
          body: call.rawBody ?? (call.body === undefined ? null : JSON.stringify(call.body)),
          idempotent: false,
          reset: call.usesOwnConnection === true,
        },
        createHandler(call, isFailing, resolve),
      );
    } catch (error) {
      // Dispatching to a closed pool throws before anything is queued.
      const reason = error instanceof errors.InvalidArgumentError ? 'internal' : 'connect-failed';
      resolve({ kind: 'not-sent', reason, detail: describeError(error) });
    }
  });
}
