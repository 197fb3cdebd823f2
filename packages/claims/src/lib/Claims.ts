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

/** Validator of a keyed request, as hosts forward it. @public */
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

/** A request that may run at most once under its key. @public */
export type KeyedRequest = z.infer<typeof keyedRequestSchema>;

const recordSchema = z.object({
  key: z.string(),
  bodyHash: z.string(),
  outcome: keyedOutcomeSchema.or(z.undefined()),
});

/** Validator of what a stopping host hands on. @public */
export const handoverSchema = z.object({
  /** Absent when only answers to made-up keys are handed on. */
  process: z
    .object({ processId: processIdSchema, secret: z.string(), generation: z.int() })
    .optional(),
  records: z.array(recordSchema),
});

/** What a stopping host hands on. @public */
export type Handover = z.infer<typeof handoverSchema>;

/**
 * Something that a stopping host hands on.
 *
 * @public
 */
export interface HandoverPlan {
  /** Who should take it, best first; at most one host may ever be given it. */
  readonly hosts: readonly HostId[];
  readonly handover: Handover;
}

/** Runs a keyed request here; `mayRun` is asked again right before anything is written. @public */
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
  readonly findLimits: () => OwnershipLimits;
  /** The process that a host runs now, as far as its heartbeats tell. */
  readonly findProcess: (hostId: HostId) => ProcessId | undefined;
  /** The host that has taken over the keys of a process that stopped. */
  readonly findSuccessor: (processId: ProcessId) => HostId | undefined;
  readonly forward: (
    hostId: HostId,
    request: KeyedRequest,
  ) => Promise<Result<unknown, PeerFailure>>;
  readonly execute: ExecuteKeyed;
}

/**
 * A process whose issued keys this host has taken over.
 *
 * @public
 */
export interface TakenOverProcess {
  readonly processId: ProcessId;
  /** How often its keys were handed on. */
  readonly generation: number;
}

/**
 * Runs each key's request at most once across all hosts.
 *
 * @public
 */
export interface Claims {
  /** Issues a key that works even while the platform is down. */
  issueKey(workspaceId: WorkspaceId): string;
  /** Runs a request wherever its key belongs. */
  run(request: KeyedRequest): Promise<KeyedOutcome>;
  /** Runs a request that another host sent here because it holds this host for the home. */
  runForwarded(request: KeyedRequest): Promise<KeyedOutcome>;
  readonly view: OwnershipView;
  /** Takes over from a host that stops. */
  takeOver(handOver: Handover): void;
  /** Runs no more keys, and builds what is to be handed on; see {@link HandoverPlan}. */
  close(hosts: readonly HostId[]): readonly HandoverPlan[];
  /** Processes whose keys this host has taken over. */
  readonly listTakenOverProcesses: () => readonly TakenOverProcess[];
  readonly countRecords: () => number;
}
