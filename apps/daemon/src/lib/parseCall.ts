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
 * What a caller asks for, apart from the body.
 *
 * @internal
 */
export interface ParsedCall {
  readonly workspaceId: WorkspaceId;
  readonly pipelineId: PipelineId;
  readonly pipeline: Pipeline;
  readonly rankId: RankId;
  readonly rank: Rank;
  /** Time from arrival to the whole answer, in milliseconds. */
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
    return err(createNotRunFailure('bad-request', 'Endiveferry-Rank names no rank'));
  }
  const allowed = [pipeline.rank, ...(pipeline.allowedRanks ?? [])];
  if (allowed.includes(parsed)) return ok({ rankId: parsed, rank });
  return err(createNotRunFailure('forbidden', `the pipeline does not allow rank ${parsed}`));
}

/** A caller may ask for less time than its rank has, never for more. */
function parseDeadline(rank: Rank, header: string | undefined): Result<number, Failure> {
  if (header === undefined) return ok(rank.deadlineMs);
  const wanted = Number(header);
  if (!Number.isFinite(wanted) || wanted <= 0) {
    const detail = 'Endiveferry-Deadline-Ms must be a positive number of milliseconds';
    return err(createNotRunFailure('bad-request', detail));
  }
  return ok(Math.min(wanted, rank.deadlineMs));
}

function findPipeline(
  configuration: Configuration,
  workspaceId: WorkspaceId,
  pipelineName: string,
): Result<{ pipelineId: PipelineId; pipeline: Pipeline }, Failure> {
  const pipelineId = pipelineIdSchema.safeParse(pipelineName).data;
  const pipeline = pipelineId === undefined ? undefined : configuration.pipelines[pipelineId];
  if (pipelineId === undefined || pipeline === undefined) {
    return err(createNotRunFailure('not-found', 'there is no such pipeline'));
  }
  const allowed = configuration.workspaces[workspaceId]?.pipelines;
  if (allowed === undefined || allowed.includes(pipelineId)) return ok({ pipelineId, pipeline });
  return err(createNotRunFailure('forbidden', 'the workspace may not call this pipeline'));
}

/**
 * Parses what a caller asks for.
 *
 * @param configuration - the configuration in force
 * @param workspaceId - the caller's workspace
 * @param pipelineName - the pipeline in the path
 * @param headers - the request's headers
 * @returns the call, or why it is refused
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
