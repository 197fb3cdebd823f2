import type { Socket } from 'node:net';

import type { Clock } from '@endiveferry/base';

import { stopReading } from './stopReading.js';

/** Number of chunks after which a connection waits for a later turn of the event loop. */
const MAX_CHUNKS_PER_CONNECTION = 256;
/** Number of chunks of all connections after which all of them wait. */
const MAX_CHUNKS_PER_TURN = 32_768;
/** Number of connections that are read again at a time, of those that have waited longest. */
const OLDEST_RESUMED = 1;
/** The same for those that came last: a new caller does not wait for a crowd that came before. */
const NEWEST_RESUMED = 2;
/** Bounds of the time that is left for other work before connections are read again, in milliseconds. */
const MIN_GAP_MS = 1;
const MAX_GAP_MS = 100;

/**
 * Keeps bodies in many small chunks from taking the process's time. The runtime creates an object and
 * runs callbacks for each chunk, so one read of a connection can take as long as many requests, and a
 * crowd of such connections would stop the event loop.
 *
 * @internal
 */
export interface ReadPacer {
  /** Adds a connection that waits when others send many chunks. It is removed when it closes. */
  add(socket: Socket): void;
  /** Counts a chunk of a body that has arrived on a connection. */
  count(socket: Socket): void;
  /** Returns whether a connection waits until it is read again. */
  readonly isWaiting: (socket: Socket) => boolean;
}

/**
 * Creates the pacer of a process.
 *
 * @param clock - clock for the time that chunks take
 * @param scheduleTurn - calls a function in the next turn of the event loop
 * @returns the pacer, without connections
 * @internal
 */
export function createReadPacer(
  clock: Pick<Clock, 'now' | 'schedule'>,
  scheduleTurn: (callback: () => void) => void = setImmediate,
): ReadPacer {
  const connections = new Set<Socket>();
  /** Chunks of the current turn, by connection. */
  const counts = new Map<Socket, number>();
  let total = 0;
  let startedAt = 0;
  let isTurnScheduled = false;
  let isResumeScheduled = false;
  /** Functions that read on, by connections that have sent many chunks, the longest waiting first. */
  const fragmented = new Map<Socket, () => void>();
  /** The same for the other connections. */
  const others = new Map<Socket, () => void>();

  const countWaiting = () => fragmented.size + others.size;
  const isWaiting = (socket: Socket) => fragmented.has(socket) || others.has(socket);

  function stop(socket: Socket): void {
    if (!isWaiting(socket)) others.set(socket, stopReading(socket));
  }

  function stopFragmented(socket: Socket): void {
    if (fragmented.has(socket)) return;
    fragmented.set(socket, others.get(socket) ?? stopReading(socket));
    others.delete(socket);
  }

  function resume(waiting: Map<Socket, () => void>, sockets: readonly Socket[]): void {
    for (const socket of sockets) {
      const readOn = waiting.get(socket);
      waiting.delete(socket);
      readOn?.();
    }
  }

  function startTurn(): void {
    if (isTurnScheduled) return;
    isTurnScheduled = true;
    startedAt = clock.now();
    scheduleTurn(() => {
      isTurnScheduled = false;
      counts.clear();
      total = 0;
      scheduleResume(clock.now() - startedAt);
    });
  }

  /** Reads on at once if one connection waits; otherwise other work gets as much time as the chunks had. */
  function scheduleResume(busyMs: number): void {
    if (isResumeScheduled || countWaiting() === 0) return;
    isResumeScheduled = true;
    if (countWaiting() === 1) scheduleTurn(resumeSome);
    else clock.schedule(Math.min(Math.max(busyMs, MIN_GAP_MS), MAX_GAP_MS), resumeSome);
  }

  function resumeSome(): void {
    isResumeScheduled = false;
    const waiting = [...others.keys()];
    resume(others, [...waiting.slice(0, OLDEST_RESUMED), ...waiting.slice(-NEWEST_RESUMED)]);
    // One read of such a connection takes the time of many others.
    resume(fragmented, [...fragmented.keys()].slice(0, 1));
    // Those that are read again may have sent nothing.
    if (countWaiting() > 0) startTurn();
  }

  return {
    add(socket) {
      connections.add(socket);
      socket.once('close', () => {
        connections.delete(socket);
        others.delete(socket);
      });
      // While a crowd is read, accepting further connections comes before reading them.
      if (countWaiting() > 1) stop(socket);
    },
    count(socket) {
      startTurn();
      total += 1;
      const count = (counts.get(socket) ?? 0) + 1;
      counts.set(socket, count);
      if (count === MAX_CHUNKS_PER_CONNECTION) stopFragmented(socket);
      if (total === MAX_CHUNKS_PER_TURN) for (const other of connections) stop(other);
    },
    isWaiting,
  };
}
