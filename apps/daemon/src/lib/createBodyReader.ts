import type { IncomingMessage } from 'node:http';

import {
  createNotRunFailure,
  describeError,
  type Clock,
  type Failure,
  type MemoryBudget,
  type MemoryHolder,
} from '@endiveferry/base';
import type { Metrics } from '@endiveferry/telemetry';
import { err, ok, type Result } from 'neverthrow';

import { checkBodyProgress, computeBodyWeight } from './checkBodyProgress.js';
import { createBlockPool } from './createBlockPool.js';
import { createBodyBuffer } from './createBodyBuffer.js';
import type { ReadPacer } from './createReadPacer.js';

/** Interval at which the progress of bodies is checked, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Memory that a request takes besides its headers and its body, in bytes. */
const REQUEST_BYTES = 4_096;
/** Memory of a header in its parsed form, per byte as received. */
const PARSED_HEADER_RATIO = 2;
/** Time after which the memory may be free again, in milliseconds. */
const RETRY_AFTER_MS = 1_000;
/** Time without content from which a body has stopped, in milliseconds. */
const MIN_STOPPED_MS = 1_000;

/** Limits of one body. @internal */
export interface BodyLimits {
  /** Maximum size of the content, in bytes. */
  readonly maxBytes: number;
  /** Size of the request's headers, in bytes. */
  readonly headerBytes: number;
  /** Time that a body may arrive without content, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** A complete body, whose memory counts until it is released. @internal */
export interface HeldBody {
  readonly bytes: Buffer;
  readonly release: () => void;
}

/** Reads the bodies of all requests that a process receives. @internal */
export interface BodyReader {
  /**
   * Reads a body; resolves to the failure of its request when the body is too large or too slow, ends
   * early, or is dropped because the memory is used up.
   */
  read(request: IncomingMessage, limits: BodyLimits): Promise<Result<HeldBody, Failure>>;
  /** Drops the body that has been without content for longest, if any has stopped. Returns whether it did. */
  readonly rejectStopped: () => boolean;
}

/** Options of {@link createBodyReader}. @internal */
export interface BodyReaderOptions {
  readonly clock: Clock;
  readonly metrics: Pick<Metrics, 'registerGauge' | 'registerCounter'>;
  /** Memory of all bodies together. */
  readonly budget: MemoryBudget;
  /** Number of free blocks that are kept for bodies. */
  readonly maxFreeBlocks: number;
  /** Connections that wait because others are read make no progress. */
  readonly pacer: Pick<ReadPacer, 'isWaiting'>;
}

/** A body that has not arrived completely. */
interface OpenBody {
  /** Moves its times on by a pause of this process, in milliseconds. */
  readonly addPause: (pausedMs: number) => void;
  readonly check: (now: number) => void;
  /** Returns the monotonic time until which it made progress, in milliseconds. */
  readonly getLastContentAt: () => number;
  readonly drop: (reason: string) => void;
}

/**
 * Creates the reader of a process.
 *
 * @param options - see {@link BodyReaderOptions}
 * @returns the reader
 * @internal
 */
export function createBodyReader(options: BodyReaderOptions): BodyReader {
  const { clock, metrics, budget, pacer } = options;
  const pool = createBlockPool(options.maxFreeBlocks);
  const open = new Set<OpenBody>();
  const recordDrop = metrics.registerCounter(
    'endiveferry_rejected_bodies_total',
    'requests that were rejected while their body was read, by reason',
    ['reason'],
  );
  metrics.registerGauge(
    'endiveferry_body_bytes',
    'memory of the bodies of requests and of responses that are not read',
    () => [{ labels: {}, value: budget.countBytes() }],
  );
  let isCheckScheduled = false;

  function scheduleCheck(): void {
    if (isCheckScheduled || open.size === 0) return;
    isCheckScheduled = true;
    const dueAt = clock.now() + CHECK_INTERVAL_MS;
    clock.schedule(CHECK_INTERVAL_MS, () => {
      isCheckScheduled = false;
      const now = clock.now();
      // While this process was paused it read nothing, which is no fault of the callers.
      const pausedMs = now - dueAt;
      if (pausedMs > CHECK_INTERVAL_MS) for (const body of open) body.addPause(pausedMs);
      else for (const body of open) body.check(now);
      scheduleCheck();
    });
  }

  function receive(
    request: IncomingMessage,
    { maxBytes, headerBytes, idleTimeoutMs }: BodyLimits,
    resolve: (result: Result<HeldBody, Failure>) => void,
  ): void {
    const { headers, socket } = request;
    const announced = headers['content-length'];
    const buffer = createBodyBuffer(pool, announced === undefined ? undefined : Number(announced));
    const fixedBytes = REQUEST_BYTES + PARSED_HEADER_RATIO * headerBytes;
    const firstByte = socket.bytesRead;
    let startedAt = clock.now();
    let lastContentAt = startedAt;
    let contentBytes = 0;
    let isOpen = true;

    const body: OpenBody = {
      addPause(pausedMs) {
        startedAt += pausedMs;
        lastContentAt += pausedMs;
      },
      check(now) {
        if (pacer.isWaiting(socket)) {
          body.addPause(CHECK_INTERVAL_MS);
          return;
        }
        const encodedBytes = socket.bytesRead - firstByte;
        const progress = { startedAt, lastContentAt, contentBytes, encodedBytes };
        const failure = checkBodyProgress(progress, now, idleTimeoutMs);
        if (failure !== undefined) fail(failure);
      },
      getLastContentAt: () => (pacer.isWaiting(socket) ? clock.now() : lastContentAt),
      drop: (reason) => fail(createNotRunFailure('overloaded', reason, RETRY_AFTER_MS)),
    };
    const holder: MemoryHolder = {
      abort: ({ message }) => body.drop(message),
      weigh: (bytes) => (isOpen ? computeBodyWeight(bytes, clock.now() - lastContentAt) : 0),
    };

    function finish(): void {
      isOpen = false;
      open.delete(body);
    }

    function fail(failure: Failure): void {
      if (!isOpen) return;
      finish();
      request.off('data', onData);
      budget.release(holder);
      buffer.discard();
      recordDrop({ reason: failure.reason });
      resolve(err(failure));
    }

    function onData(chunk: Buffer): void {
      contentBytes += chunk.length;
      lastContentAt = clock.now();
      if (contentBytes > maxBytes) {
        fail(createNotRunFailure('body-too-large', `the body is longer than ${maxBytes} bytes`));
        return;
      }
      const held = buffer.countHeld();
      buffer.add(chunk);
      if (buffer.countHeld() !== held) budget.set(holder, fixedBytes + buffer.countHeld());
    }

    function onEnd(): void {
      if (!isOpen) return;
      finish();
      const held = buffer.countHeld();
      const bytes = buffer.take();
      if (bytes.length !== held) budget.set(holder, fixedBytes + bytes.length);
      resolve(ok({ bytes, release: () => budget.release(holder) }));
    }

    function onBroken(error?: Error): void {
      const reason = error === undefined ? 'the connection closed' : describeError(error);
      fail(createNotRunFailure('bad-request', `the body ended early: ${reason}`));
    }

    open.add(body);
    budget.set(holder, fixedBytes);
    request.on('data', onData);
    request.on('end', onEnd);
    request.on('error', onBroken);
    request.on('close', onBroken);
    scheduleCheck();
  }

  return {
    read(request, limits) {
      if (Number(request.headers['content-length'] ?? 0) > limits.maxBytes) {
        const detail = `the body is longer than ${limits.maxBytes} bytes`;
        recordDrop({ reason: 'body-too-large' });
        return Promise.resolve(err(createNotRunFailure('body-too-large', detail)));
      }
      return new Promise((resolve) => receive(request, limits, resolve));
    },
    rejectStopped() {
      let stopped: OpenBody | undefined;
      let stoppedAt = clock.now() - MIN_STOPPED_MS;
      for (const body of open) {
        const lastContentAt = body.getLastContentAt();
        if (lastContentAt > stoppedAt) continue;
        stopped = body;
        stoppedAt = lastContentAt;
      }
      stopped?.drop('there are too many connections, and the body had stopped');
      return stopped !== undefined;
    },
  };
}
