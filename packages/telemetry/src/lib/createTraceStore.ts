import type { Clock, RequestId } from '@endiveferry/base';

/** Requests whose traces are kept; older ones are forgotten first. */
const MAX_TRACES = 512;
/** Events kept for one request. */
const MAX_EVENTS = 64;

/**
 * One decision about a request.
 *
 * @public
 */
export interface TraceEvent {
  /** Since the request arrived, in milliseconds. */
  readonly atMs: number;
  readonly event: string;
  readonly detail: Readonly<Record<string, string | number | boolean>>;
}

/**
 * What was decided about one request, where, when and why.
 *
 * @public
 */
export interface Trace {
  readonly requestId: RequestId;
  /** Wall-clock time of arrival, ISO 8601. */
  readonly arrivedAt: string;
  readonly events: readonly TraceEvent[];
  /** Events left out because the request had too many. */
  readonly droppedEvents: number;
}

/** Adds an event to one request's trace. @public */
export type RecordEvent = (event: string, detail?: TraceEvent['detail']) => void;

/**
 * The traces of a host's latest requests.
 *
 * @public
 */
export interface TraceStore {
  /** Starts a trace, or goes on with one; the result adds events to it. */
  startTrace(requestId: RequestId): RecordEvent;
  findTrace(requestId: RequestId): Trace | undefined;
}

interface MutableTrace extends Trace {
  readonly startedAt: number;
  readonly events: TraceEvent[];
  droppedEvents: number;
}

/**
 * Creates a store of bounded size.
 *
 * @param clock - times the events
 * @returns an empty store
 * @public
 */
export function createTraceStore(clock: Clock): TraceStore {
  const traces = new Map<RequestId, MutableTrace>();

  function addTrace(requestId: RequestId): MutableTrace {
    const arrivedAt = new Date(clock.wallTime()).toISOString();
    const trace = { requestId, arrivedAt, startedAt: clock.now(), events: [], droppedEvents: 0 };
    traces.set(requestId, trace);
    dropOldest();
    return trace;
  }

  function dropOldest(): void {
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
