import type { BackendServerId } from '@endiveferry/base';

/**
 * One execution at a stand-in backend server.
 *
 * @public
 */
export interface Execution {
  readonly serverId: BackendServerId;
  /** Request and stage, as the call named them. */
  readonly callId: string;
  readonly path: string;
  readonly idempotencyKey: string | undefined;
  readonly startedAt: number;
  endedAt: number | undefined;
}

/**
 * Everything that stand-ins executed, for tests and experiments to compare with what callers were
 * told.
 *
 * @public
 */
export interface ExecutionLog {
  start(execution: Omit<Execution, 'startedAt' | 'endedAt'>): Execution;
  end(execution: Execution): void;
  readonly list: () => readonly Execution[];
  /** Counts executions of a call. */
  countCallExecutions(callId: string): number;
  /** Counts executions of a request's calls to a path. */
  countRequestExecutions(requestId: string): number;
  /** Counts executions under a key. */
  countKeyExecutions(idempotencyKey: string): number;
}

/**
 * Creates an empty ledger.
 *
 * @returns the ledger
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
