import {
  describeError,
  isAborted,
  waitFor,
  type Clock,
  type HostId,
  type Random,
  type Supervisor,
} from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';
import { Agent, request, type Dispatcher } from 'undici';
import type { z } from 'zod';

import {
  configurationAnswerSchema,
  hostListSchema,
  type HostList,
  type PublishedConfiguration,
} from './messages.js';

/** How long the platform may hold a watch of the configuration open. */
const CONFIGURATION_WAIT_MS = 25_000;
/** Shorter, because each answer also confirms that the list is current. */
const HOST_LIST_WAIT_MS = 4_000;
/** Time beyond the wait after which a silent answer is given up. */
const ANSWER_SLACK_MS = 5_000;
const FIRST_RETRY_MS = 250;
/** 400 hosts that retry evenly over this time make 50 reads a second. */
const MAX_RETRY_MS = 8_000;

/**
 * What the platform client finds.
 *
 * @public
 */
export interface DirectoryListener {
  onConfiguration(published: PublishedConfiguration): void;
  /** Called with each answer, also when only `asOf` is newer. */
  onHostList(list: HostList): void;
}

/**
 * Options of the platform client.
 *
 * @public
 */
export interface DirectoryClientOptions {
  readonly url: string;
  /** Named to the platform with each read. */
  readonly hostId: HostId;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
  readonly listener: DirectoryListener;
  /** Newest revisions known, also from other hosts, so that the platform sends only newer ones. */
  readonly findConfigurationRevision: () => number;
  readonly findHostListRevision: () => number;
}

class PlatformError extends Error {}

/**
 * Starts watching the platform: one long poll for the configuration, one for the list of hosts.
 * After a failure each waits a random part of a doubling time, so that a fleet comes back spread out.
 *
 * @param options - see {@link DirectoryClientOptions}
 * @public
 */
export function startDirectoryClient(options: DirectoryClientOptions): void {
  const { url, clock, random, logger, listener } = options;

  async function readText(dispatcher: Dispatcher, path: string, timeoutMs: number) {
    const answer = await request(new URL(path, url), {
      dispatcher,
      headers: { 'user-agent': `endiveferryd/${options.hostId}` },
      signal: AbortSignal.timeout(timeoutMs),
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) {
      throw new PlatformError(`the platform answered ${answer.statusCode} to ${path}`);
    }
    return text;
  }

  async function readAnswer<Schema extends z.ZodType>(
    dispatcher: Dispatcher,
    path: string,
    waitMs: number,
    schema: Schema,
  ): Promise<z.infer<Schema>> {
    const text = await readText(dispatcher, path, waitMs + ANSWER_SLACK_MS);
    return schema.parse(JSON.parse(text));
  }

  async function readConfiguration(dispatcher: Dispatcher): Promise<void> {
    const known = options.findConfigurationRevision();
    const answer = await readAnswer(
      dispatcher,
      `/v1/configuration?after=${known}&waitMs=${CONFIGURATION_WAIT_MS}`,
      CONFIGURATION_WAIT_MS,
      configurationAnswerSchema,
    );
    if (answer.revision <= known) return;
    const document =
      answer.parts === undefined
        ? answer.document
        : await readParts(dispatcher, answer.revision, answer.parts);
    listener.onConfiguration({ revision: answer.revision, document });
  }

  async function readParts(dispatcher: Dispatcher, revision: number, count: number) {
    const texts: string[] = [];
    for (let part = 0; part < count; part += 1) {
      const path = `/v1/configuration/${revision}/parts/${part}`;
      texts.push(await readText(dispatcher, path, ANSWER_SLACK_MS));
    }
    return JSON.parse(texts.join('')) as unknown;
  }

  async function readHostList(dispatcher: Dispatcher): Promise<void> {
    const known = options.findHostListRevision();
    const list = await readAnswer(
      dispatcher,
      `/v1/hosts?after=${known}&waitMs=${HOST_LIST_WAIT_MS}`,
      HOST_LIST_WAIT_MS,
      hostListSchema,
    );
    listener.onHostList(list);
  }

  async function watch(
    what: string,
    read: (dispatcher: Dispatcher) => Promise<void>,
    signal: AbortSignal,
  ): Promise<void> {
    const agent = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
    signal.addEventListener('abort', () => void agent.destroy(), { once: true });
    for (let retryMs = FIRST_RETRY_MS; !signal.aborted;) {
      try {
        await read(agent);
        retryMs = FIRST_RETRY_MS;
      } catch (error) {
        if (isAborted(signal)) return;
        logger.warn('reading from the platform failed', { what, error: describeError(error) });
        await waitFor(clock, random.nextFraction() * retryMs, signal);
        retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
      }
    }
  }

  options.supervisor.spawn('configuration', (signal) =>
    watch('configuration', readConfiguration, signal),
  );
  options.supervisor.spawn('hosts', (signal) => watch('hosts', readHostList, signal));
}
