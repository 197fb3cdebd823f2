import type { IncomingHttpHeaders } from 'node:http';

import {
  createNotRunFailure,
  pipelineIdSchema,
  rankIdSchema,
  type Failure,
  type PipelineId,
  type RankId,
  type WorkspaceId,
} from '@endiveferry/base';
import type { Configuration, Pipeline, Rank } from '@endiveferry/settings';
import { err, ok, type Result } from 'neverthrow';

const MAX_KEY_LENGTH = 300;

/**
 * Parameters of a call, without its body.
 *
 * @internal
 */
export interface ParsedCall {
  readonly workspaceId: WorkspaceId;
  readonly pipelineId: PipelineId;
  readonly pipeline: Pipeline;
  readonly rankId: RankId;
  readonly rank: Rank;
  /** Time from arrival to the complete response, in milliseconds. */
  readonly deadlineMs: number;
  readonly idempotencyKey: string | undefined;
  readonly wantsStream: boolean;
}

function readHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function parseRank(
  configuration: Configuration,
  pipeline: Pipeline,
  header: string | undefined,
): Result<{ rankId: RankId; rank: Rank }, Failure> {
  const parsed = header === undefined ? pipeline.rank : rankIdSchema.safeParse(header).data;
  const rank = parsed === undefined ? undefined : configuration.ranks[parsed];
  if (parsed === undefined || rank === undefined) {
    return err(createNotRunFailure('bad-request', 'Endiveferry-Rank is not a known rank'));
  }
  const allowed = [pipeline.rank, ...(pipeline.allowedRanks ?? [])];
  if (allowed.includes(parsed)) return ok({ rankId: parsed, rank });
  return err(createNotRunFailure('forbidden', `the pipeline does not allow rank ${parsed}`));
}

/** Callers may shorten the deadline of their rank, but not extend it. */
function parseDeadline(rank: Rank, header: string | undefined): Result<number, Failure> {
  if (header === undefined) return ok(rank.deadlineMs);
  const requestedMs = Number(header);
  if (!Number.isFinite(requestedMs) || requestedMs <= 0) {
    const detail = 'Endiveferry-Deadline-Ms must be a positive number of milliseconds';
    return err(createNotRunFailure('bad-request', detail));
  }
  return ok(Math.min(requestedMs, rank.deadlineMs));
}

function findPipeline(
  configuration: Configuration,
  workspaceId: WorkspaceId,
  pipelineName: string,
): Result<{ pipelineId: PipelineId; pipeline: Pipeline }, Failure> {
  const pipelineId = pipelineIdSchema.safeParse(pipelineName).data;
  const pipeline = pipelineId === undefined ? undefined : configuration.pipelines[pipelineId];
  if (pipelineId === undefined || pipeline === undefined) {
    return err(createNotRunFailure('not-found', 'unknown pipeline'));
  }
  const allowed = configuration.workspaces[workspaceId]?.pipelines;
  if (allowed === undefined || allowed.includes(pipelineId)) return ok({ pipelineId, pipeline });
  return err(createNotRunFailure('forbidden', 'the workspace may not call this pipeline'));
}

/**
 * Parses the parameters of a call and checks them against the configuration.
 *
 * @param configuration - the configuration in force
 * @param workspaceId - the caller's workspace
 * @param pipelineName - name of the pipeline, from the path
 * @param headers - the request's headers
 * @returns the call, or the reason for its rejection
 * @internal
 */
export function parseCall(
  configuration: Configuration,
  workspaceId: WorkspaceId,
  pipelineName: string,
  headers: IncomingHttpHeaders,
): Result<ParsedCall, Failure> {
  const idempotencyKey = readHeader(headers, 'idempotency-key');
  if (idempotencyKey !== undefined && idempotencyKey.length > MAX_KEY_LENGTH) {
    return err(createNotRunFailure('bad-request', 'the Idempotency-Key is too long'));
  }
  return findPipeline(configuration, workspaceId, pipelineName).andThen((found) =>
    parseRank(configuration, found.pipeline, readHeader(headers, 'endiveferry-rank')).andThen(
      (ranked) =>
        parseDeadline(ranked.rank, readHeader(headers, 'endiveferry-deadline-ms')).map(
          (deadlineMs) => ({
            workspaceId,
            ...found,
            ...ranked,
            deadlineMs,
            idempotencyKey,
            wantsStream: headers.accept?.includes('text/event-stream') === true,
          }),
        ),
    ),
  );
}
