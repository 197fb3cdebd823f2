import {
  createNotRunFailure,
  requestIdSchema,
  NO_LONGER_NEEDED,
  waitFor,
  type Clock,
  type Failure,
  type HostId,
  type PoolId,
  type RequestId,
} from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';

import type { Fleet } from '../fleet/createFleet.js';
import { createStreamRecords } from './createStreamRecords.js';
import type { VersionHistory } from './createVersionHistory.js';
import {
  streamOriginSchema,
  streamRecordSchema,
  versionReportSchema,
  type StreamOrigin,
  type StreamRecord,
} from '../StreamOrigin.js';

/** Delay within which records are sent to other hosts together, in milliseconds. */
const SHARE_DELAY_MS = 20;
/** Longest wait for the answers of other hosts, in milliseconds: it delays the caller. */
const FIND_TIMEOUT_MS = 400;
/** Time after the start in which a host may still learn what it needs, in milliseconds. */
const LEARNING_MS = 1_500;
const LEARNING_RETRY_MS = 500;

const recordsSchema = z.object({ records: z.array(streamRecordSchema) });
const findRequestSchema = z.object({ requestId: streamRecordSchema.shape.requestId });
const findReplySchema = z.object({
  origin: streamOriginSchema.optional(),
  /** Versions that the replying host has seen listed; absent from hosts of earlier builds. */
  versions: versionReportSchema.optional(),
});
/** Stands for a stream whose first request the caller does not name; nobody has its record. */
const UNNAMED_STREAM = requestIdSchema.parse('unnamed');

/** A stream that a caller takes up. @internal */
export interface ResumedStream {
  /** The request that brought its first event; undefined when the caller names none. */
  readonly requestId: RequestId | undefined;
  /** Pool in which it goes on if its own is unknown and only one version can have begun it. */
  readonly poolId: PoolId;
  /** Pools that serve its route. */
  readonly poolIds: readonly PoolId[];
}

/** What is known of a stream's origin, and whether it could be asked. */
interface FoundOrigin {
  readonly origin: StreamOrigin | undefined;
  /** Whether another host has answered, or need not be asked. */
  readonly hasAnswer: boolean;
}

/**
 * Knows which software version began each stream, over all hosts.
 *
 * @public
 */
export interface StreamOrigins {
  /** Records where a stream of this host began; `isSplit` if its route has several pools. */
  recordBegin(record: StreamRecord, isSplit: boolean): void;
  /** Finds where a stream began, or why it can't go on. */
  resolve(stream: ResumedStream): Promise<Result<StreamOrigin, Failure>>;
  /** Records the time that the caller of a new stream waits, in milliseconds. */
  recordDeadline(remainingMs: number): void;
  /** Sends records that other hosts need since a pool has several versions. */
  shareRecords(): void;
  /** Handles a request of another host; undefined for an unknown kind. */
  handleRequest(kind: string, body: unknown): Promise<unknown> | undefined;
}

/** Options of {@link createStreamOrigins}. @public */
export interface StreamOriginsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly history: VersionHistory;
  readonly findFleet: () => Pick<Fleet, 'request' | 'listRecordHolders'>;
  /** Whether a server of the pool and version takes requests. */
  readonly isServed: (origin: StreamOrigin) => boolean;
}

/**
 * Creates the knowledge of a host that has just started. Records are sent to other hosts only while
 * more than one version may have begun a stream.
 *
 * @param options - see {@link StreamOriginsOptions}
 * @returns the knowledge
 * @public
 */
export function createStreamOrigins(options: StreamOriginsOptions): StreamOrigins {
  const { clock, logger, history, findFleet } = options;
  const records = createStreamRecords(clock, history.lifetimeMs);
  const startedAt = clock.now();
  const pending = new Map<HostId, StreamRecord[]>();

  const reject = (stream: ResumedStream, detail: string, retryAfterMs?: number) => {
    logger.info('a stream cannot go on', { stream: stream.requestId, detail, retryAfterMs });
    return err(createNotRunFailure('cannot-resume', detail, retryAfterMs));
  };

  function sendPending(): void {
    for (const [hostId, batch] of pending)
      void findFleet().request(hostId, 'record-streams', { records: batch }, FIND_TIMEOUT_MS);
    pending.clear();
  }

  function share(record: StreamRecord): void {
    if (pending.size === 0) clock.schedule(SHARE_DELAY_MS, sendPending);
    for (const hostId of findFleet().listRecordHolders(record.requestId)) {
      const batch = pending.get(hostId) ?? [];
      batch.push(record);
      pending.set(hostId, batch);
    }
  }

  /** Asks a host where a stream began; rejects when neither it nor the versions it knows tell. */
  async function ask(
    hostId: HostId,
    requestId: RequestId,
    poolId: PoolId,
    onAnswer: () => void,
  ): Promise<StreamOrigin> {
    const reply = await findFleet().request(hostId, 'find-stream', { requestId }, FIND_TIMEOUT_MS);
    if (reply.isErr()) throw new Error(reply.error.detail);
    onAnswer();
    const { origin, versions } = findReplySchema.parse(reply.value);
    if (versions !== undefined) history.applyReport(versions);
    const found = origin ?? history.findOnlyOrigin(poolId);
    if (found === undefined) throw new Error('the host does not know the stream');
    return found;
  }

  /** Asks the hosts that hold the record of a stream; without an origin when none of them can tell. */
  async function findAtOtherHosts(
    holders: readonly HostId[],
    requestId: RequestId,
    poolId: PoolId,
  ): Promise<FoundOrigin> {
    let hasAnswer = false;
    const answers = holders.map((hostId) =>
      ask(hostId, requestId, poolId, () => (hasAnswer = true)),
    );
    const timeout = new AbortController();
    const expired = waitFor(clock, FIND_TIMEOUT_MS, timeout.signal).then(() => undefined);
    // It rejects when no host knows the stream.
    const known = Promise.any(answers).catch(() => undefined);
    const origin = await Promise.race([known, expired]);
    timeout.abort(NO_LONGER_NEEDED);
    if (origin !== undefined && requestId !== UNNAMED_STREAM)
      records.add({ requestId, ...origin }, true);
    return { origin, hasAnswer };
  }

  /**
   * Finds where a stream began. Without a record of its own, a host that has been cut off or has stood
   * still may not know of a version that others use, so it needs another host's answer.
   */
  async function findOrigin({
    requestId = UNNAMED_STREAM,
    poolId,
  }: ResumedStream): Promise<FoundOrigin> {
    const known = records.find(requestId);
    if (known !== undefined) return { origin: known, hasAnswer: true };
    const holders = findFleet().listRecordHolders(requestId);
    if (holders.length === 0) return { origin: history.findOnlyOrigin(poolId), hasAnswer: true };
    return findAtOtherHosts(holders, requestId, poolId);
  }

  const requestHandlers: Partial<Record<string, (body: unknown) => unknown>> = {
    'record-streams'(body) {
      for (const record of recordsSchema.parse(body).records) records.add(record, true);
      return true;
    },
    'find-stream': (body) => ({
      origin: records.find(findRequestSchema.parse(body).requestId),
      versions: history.buildReport(),
    }),
  };

  return {
    recordBegin(record, isSplit) {
      const isNeeded = isSplit || !history.isCertain(record.poolId);
      records.add(record, isNeeded);
      if (isNeeded) share(record);
    },
    async resolve(stream) {
      const { origin, hasAnswer } = await findOrigin(stream);
      if (origin === undefined) {
        const isLearning = !hasAnswer || clock.now() - startedAt < LEARNING_MS;
        return reject(
          stream,
          hasAnswer
            ? 'several software versions may have begun the stream'
            : 'no other host answers, so this one may not know all software versions',
          isLearning ? LEARNING_RETRY_MS : undefined,
        );
      }
      const { poolId, softwareVersion } = origin;
      if (!stream.poolIds.includes(poolId))
        return reject(stream, `the stream began in pool ${poolId}, which no longer serves it`);
      if (options.isServed(origin)) return ok(origin);
      const version = softwareVersion ?? 'without a name';
      return reject(stream, `no server of software version ${version} is left in pool ${poolId}`);
    },
    recordDeadline: (remainingMs) => history.recordDeadline(remainingMs),
    shareRecords() {
      for (const record of records.takeUnshared(({ poolId }) => !history.isCertain(poolId)))
        share(record);
    },
    handleRequest(kind, body) {
      const handle = requestHandlers[kind];
      return handle === undefined ? undefined : Promise.resolve(handle(body));
    },
  };
}
