import type { Clock, RequestId } from '@endiveferry/base';

/** Requests whose traces are kept; the oldest is evicted first. */
const MAX_TRACES = 512;
/** Events kept per request; further ones are only counted. */
const MAX_EVENTS = 64;

/**
 * One event in the processing of a request.
 *
 * @public
 */
export interface TraceEvent {
  /** Time since the request arrived, in milliseconds. */
  readonly atMs: number;
  readonly event: string;
  readonly detail: Readonly<Record<string, string | number | boolean>>;
}

/**
 * Record of the decisions about one request: where, when and why they were made.
 *
 * @public
 */
export interface Trace {
  readonly requestId: RequestId;
  /** Wall-clock time of arrival, ISO 8601. */
  readonly arrivedAt: string;
  readonly events: readonly TraceEvent[];
  /** Number of events dropped because the trace was full. */
  readonly droppedEvents: number;
}

/** Adds an event to one request's trace. @public */
export type RecordEvent = (event: string, detail?: TraceEvent['detail']) => void;

/**
 * Traces of a host's most recent requests.
 *
 * @public
 */
export interface TraceStore {
  /** Starts a trace, or continues an existing one; returns the function that adds events to it. */
  startTrace(requestId: RequestId): RecordEvent;
  findTrace(requestId: RequestId): Trace | undefined;
}

interface MutableTrace extends Trace {
  readonly startedAt: number;
  readonly events: TraceEvent[];
  droppedEvents: number;
}

/**
 * Creates a trace store of bounded size.
 *
 * @param clock - source of the events' timestamps
 * @returns an empty store
 * @public
 */
export function createTraceStore(clock: Clock): TraceStore {
  const traces = new Map<RequestId, MutableTrace>();

  function addTrace(requestId: RequestId): MutableTrace {
    const arrivedAt = new Date(clock.wallTime()).toISOString();
    const trace = { requestId, arrivedAt, startedAt: clock.now(), events: [], droppedEvents: 0 };
    traces.set(requestId, trace);
    evictOldest();
    return trace;
  }

  function evictOldest(): void {
    const [oldest] = traces.keys();
    if (oldest !== undefined && traces.size > MAX_TRACES) traces.delete(oldest);
  }

  return {
    startTrace(requestId) {
      const trace = traces.get(requestId) ?? addTrace(requestId);
      return (event, detail = {}) => {
        if (trace.events.length >= MAX_EVENTS) trace.droppedEvents += 1;
        else trace.events.push({ atMs: clock.now() - trace.startedAt, event, detail });
      };
    },
    findTrace(requestId) {
      const trace = traces.get(requestId);
      if (trace === undefined) return undefined;
      const { arrivedAt, events, droppedEvents } = trace;
      return { requestId, arrivedAt, events: [...events], droppedEvents };
    },
  };
}
