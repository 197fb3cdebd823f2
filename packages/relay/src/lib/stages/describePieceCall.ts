import type { LogContext } from '@endiveferry/telemetry';

import type { BatchOutcome } from '../ports.js';
import type { BatchPart } from './chooseBatch.js';
import type { CallSlot } from './createGroupQueue.js';
import type { ReplicaState } from './createReplicaStates.js';
import { listFailures } from './listFailures.js';
import type { QueuedGroup } from './QueuedGroup.js';

/** A call that has ended. @internal */
export interface EndedCall {
  readonly replica: Pick<ReplicaState, 'server' | 'slowness'>;
  readonly parts: readonly BatchPart<QueuedGroup>[];
  readonly slots: readonly CallSlot[];
  readonly measuredMs: number;
  readonly expectedMs: number;
  readonly callOutcome: BatchOutcome;
}

/**
 * Describes a call for the log.
 *
 * @param call - the call
 * @returns the fields of the log line
 * @internal
 */
export function describePieceCall(call: EndedCall): LogContext {
  const { replica, slots, callOutcome } = call;
  return {
    requestIds: call.parts.map(({ entry }) => entry.group.requestId),
    backendServer: replica.server().serverId,
    pieces: slots.length,
    unwanted: slots.filter(({ entry }) => entry.isSettled).length,
    slowness: Number(replica.slowness().toFixed(2)),
    measuredMs: Math.round(call.measuredMs),
    expectedMs: Math.round(call.expectedMs),
    outcome: callOutcome.kind,
    failed: listFailures(callOutcome),
  };
}
