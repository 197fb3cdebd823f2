import type { BackendServerId } from '@endiveferry/base';

/**
 * Execution of one call at a stand-in backend server.
 *
 * @public
 */
export interface Execution {
  readonly serverId: BackendServerId;
  /** Id of the call: request id and stage id, joined by a dot. */
  readonly callId: string;
  readonly path: string;
  readonly idempotencyKey: string | undefined;
  /** Start time by the monotonic clock, in milliseconds. */
  readonly startedAt: number;
  /** End time; undefined while the execution is in progress. */
  endedAt: number | undefined;
}

/**
 * Log of all executions at stand-ins. Tests and experiments compare it with the responses that
 * callers received.
 *
 * @public
 */
export interface ExecutionLog {
  /** Records the start of an execution and returns its entry. */
  start(execution: Omit<Execution, 'startedAt' | 'endedAt'>): Execution;
  /** Records the end of an execution. */
  end(execution: Execution): void;
  readonly list: () => readonly Execution[];
  /** Returns the number of executions of a call. */
  countCallExecutions(callId: string): number;
  /** Returns the number of executions of all calls of a request. */
  countRequestExecutions(requestId: string): number;
  /** Returns the number of executions with an idempotency key. */
  countKeyExecutions(idempotencyKey: string): number;
}

/**
 * Creates an empty execution log.
 *
 * @returns the log
 * @public
 */
export function createExecutionLog(): ExecutionLog {
  const executions: Execution[] = [];
  const byCall = new Map<string, number>();
  const byRequest = new Map<string, number>();
  const byKey = new Map<string, number>();
  const increment = (counts: Map<string, number>, key: string) =>
    counts.set(key, (counts.get(key) ?? 0) + 1);
  return {
    start(fields) {
      const execution = { ...fields, startedAt: performance.now(), endedAt: undefined };
      executions.push(execution);
      increment(byCall, fields.callId);
      increment(byRequest, fields.callId.slice(0, fields.callId.lastIndexOf('.')));
      if (fields.idempotencyKey !== undefined) increment(byKey, fields.idempotencyKey);
      return execution;
    },
    end(execution) {
      execution.endedAt = performance.now();
    },
    list: () => executions,
    countCallExecutions: (callId) => byCall.get(callId) ?? 0,
    countRequestExecutions: (requestId) => byRequest.get(requestId) ?? 0,
    countKeyExecutions: (key) => byKey.get(key) ?? 0,
  };
}
