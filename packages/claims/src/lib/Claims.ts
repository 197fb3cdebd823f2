import {
  pipelineIdSchema,
  processIdSchema,
  rankIdSchema,
  requestIdSchema,
  workspaceIdSchema,
  type Clock,
  type HostId,
  type ProcessId,
  type WorkspaceId,
} from '@endiveferry/base';
import type { PeerFailure } from '@endiveferry/peers';
import type { Result } from 'neverthrow';
import { z } from 'zod';

import type { OwnershipLimits, OwnershipView } from './createOwnershipView.js';
import { keyedOutcomeSchema, type KeyedOutcome } from './KeyedOutcome.js';

/** Validator of a request with an idempotency key, as hosts forward it. @public */
export const keyedRequestSchema = z.object({
  requestId: requestIdSchema,
  workspaceId: workspaceIdSchema,
  pipelineId: pipelineIdSchema,
  rankId: rankIdSchema,
  key: z.string().min(1).max(300),
  /** Time left to the deadline, in milliseconds. */
  remainingMs: z.number(),
  body: z.unknown(),
});

/** A request that runs at most once under its idempotency key. @public */
export type KeyedRequest = z.infer<typeof keyedRequestSchema>;

const recordSchema = z.object({
  key: z.string(),
  bodyHash: z.string(),
  outcome: keyedOutcomeSchema.or(z.undefined()),
});

/** Validator of the key records that a stopping host hands over. @public */
export const handoverSchema = z.object({
  /** Absent for records of caller-generated keys. */
  process: z
    .object({ processId: processIdSchema, secret: z.string(), generation: z.int() })
    .optional(),
  records: z.array(recordSchema),
});

/** Key records that a stopping host hands over to another one. @public */
export type Handover = z.infer<typeof handoverSchema>;

/**
 * A handover with the hosts that may receive it.
 *
 * @public
 */
export interface HandoverPlan {
  /** Candidates, preferred ones first; at most one host may ever receive the handover. */
  readonly hosts: readonly HostId[];
  readonly handover: Handover;
}

/**
 * Runs a keyed request on this host; checks `mayRun` again right before anything is sent to a
 * backend server.
 *
 * @public
 */
export type ExecuteKeyed = (request: KeyedRequest, mayRun: () => boolean) => Promise<KeyedOutcome>;

/**
 * Options of claims.
 *
 * @public
 */
export interface ClaimsOptions {
  readonly hostId: HostId;
  readonly processId: ProcessId;
  /** Signs the keys that this process issues. */
  readonly secret: string;
  readonly clock: Clock;
  readonly getLimits: () => OwnershipLimits;
  /** Returns the process that a host runs now, as reported by its heartbeats. */
  readonly findProcess: (hostId: HostId) => ProcessId | undefined;
  /** Returns the host that has taken over the keys of a stopped process. */
  readonly findSuccessor: (processId: ProcessId) => HostId | undefined;
  /** Sends a request to another host and returns the outcome from there. */
  readonly forward: (
    hostId: HostId,
    request: KeyedRequest,
  ) => Promise<Result<unknown, PeerFailure>>;
  readonly execute: ExecuteKeyed;
}

/**
 * A stopped process whose issued keys this host has taken over.
 *
 * @public
 */
export interface TakenOverProcess {
  readonly processId: ProcessId;
  /** Number of times its keys were handed over. */
  readonly generation: number;
}

/**
 * Runs the request of each idempotency key at most once across all hosts. Each key has one owner:
 * an issued key belongs to the process that issued it or to its successor, a caller-generated key
 * to a host chosen by rendezvous hashing over the published list of hosts.
 *
 * @public
 */
export interface Claims {
  /** Issues a key that can be used even while the platform is unavailable. */
  issueKey(workspaceId: WorkspaceId): string;
  /** Runs a request here or forwards it to the host that owns its key. */
  run(request: KeyedRequest): Promise<KeyedOutcome>;
  /** Runs a request forwarded by a host whose list names this host as the owner of the key. */
  runForwarded(request: KeyedRequest): Promise<KeyedOutcome>;
  readonly view: OwnershipView;
  /** Takes over the key records of a stopping host. */
  takeOver(handover: Handover): void;
  /** Stops running requests and returns the handovers to send; see {@link HandoverPlan}. */
  close(hosts: readonly HostId[]): readonly HandoverPlan[];
  /** Returns the processes whose keys this host has taken over. */
  readonly listTakenOverProcesses: () => readonly TakenOverProcess[];
  readonly countRecords: () => number;
}
