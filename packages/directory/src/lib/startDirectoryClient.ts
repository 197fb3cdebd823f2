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
  configurationResponseSchema,
  hostListSchema,
  type HostList,
  type PublishedConfiguration,
} from './messages.js';

/** Time for which the platform may hold a long poll of the configuration open. */
const CONFIGURATION_POLL_MS = 25_000;
/** Shorter for the list of hosts, because each response also confirms that it is current. */
const HOST_LIST_POLL_MS = 4_000;
/** Time beyond the poll's wait after which the request times out. */
const RESPONSE_GRACE_MS = 5_000;
const INITIAL_RETRY_DELAY_MS = 250;
/** Limits 400 hosts whose retries are spread evenly over this time to 50 requests per second. */
const MAX_RETRY_DELAY_MS = 8_000;

/**
 * Receives updates from the platform.
 *
 * @public
 */
export interface DirectoryListener {
  onConfiguration(published: PublishedConfiguration): void;
  /** Called for each response, even when only `asOf` is newer. */
  onHostList(list: HostList): void;
}

/**
 * Options of the directory client.
 *
 * @public
 */
export interface DirectoryClientOptions {
  readonly url: string;
  /** Identifies this host to the platform in the `user-agent` header. */
  readonly hostId: HostId;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
  readonly listener: DirectoryListener;
  /** Newest revisions known, including from other hosts; the platform sends only newer ones. */
  readonly getConfigurationRevision: () => number;
  readonly getHostListRevision: () => number;
}

class PlatformError extends Error {}

/**
 * Starts two long poll loops: one for the configuration, one for the list of hosts. Failures are
 * retried with exponential backoff and full jitter, so that the retries of a fleet are spread out.
 *
 * @param options - see {@link DirectoryClientOptions}
 * @public
 */
export function startDirectoryClient(options: DirectoryClientOptions): void {
  const { url, clock, random, logger, listener } = options;

  async function fetchText(dispatcher: Dispatcher, path: string, timeoutMs: number) {
    const response = await request(new URL(path, url), {
      dispatcher,
      headers: { 'user-agent': `endiveferryd/${options.hostId}` },
      signal: AbortSignal.timeout(timeoutMs),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      throw new PlatformError(
        `the platform responded with status ${response.statusCode} to ${path}`,
      );
    }
    return text;
  }

  async function fetchResponse<Schema extends z.ZodType>(
    dispatcher: Dispatcher,
    path: string,
    waitMs: number,
    schema: Schema,
  ): Promise<z.infer<Schema>> {
    const text = await fetchText(dispatcher, path, waitMs + RESPONSE_GRACE_MS);
    return schema.parse(JSON.parse(text));
  }

  async function fetchConfiguration(dispatcher: Dispatcher): Promise<void> {
    const knownRevision = options.getConfigurationRevision();
    const response = await fetchResponse(
      dispatcher,
      `/v1/configuration?after=${knownRevision}&waitMs=${CONFIGURATION_POLL_MS}`,
      CONFIGURATION_POLL_MS,
      configurationResponseSchema,
    );
    if (response.revision <= knownRevision) return;
    const document =
      response.parts === undefined
        ? response.document
        : await fetchDocument(dispatcher, response.revision, response.parts);
    listener.onConfiguration({ revision: response.revision, document });
  }

  async function fetchDocument(dispatcher: Dispatcher, revision: number, count: number) {
    const texts: string[] = [];
    for (let part = 0; part < count; part += 1) {
      const path = `/v1/configuration/${revision}/parts/${part}`;
      texts.push(await fetchText(dispatcher, path, RESPONSE_GRACE_MS));
    }
    return JSON.parse(texts.join('')) as unknown;
  }

  async function fetchHostList(dispatcher: Dispatcher): Promise<void> {
    const knownRevision = options.getHostListRevision();
    const list = await fetchResponse(
      dispatcher,
      `/v1/hosts?after=${knownRevision}&waitMs=${HOST_LIST_POLL_MS}`,
      HOST_LIST_POLL_MS,
      hostListSchema,
    );
    listener.onHostList(list);
  }

  async function runPollLoop(
    resource: string,
    fetchLatest: (dispatcher: Dispatcher) => Promise<void>,
    signal: AbortSignal,
  ): Promise<void> {
    const agent = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
    signal.addEventListener('abort', () => void agent.destroy(), { once: true });
    for (let retryDelayMs = INITIAL_RETRY_DELAY_MS; !signal.aborted;) {
      try {
        await fetchLatest(agent);
        retryDelayMs = INITIAL_RETRY_DELAY_MS;
      } catch (error) {
        if (isAborted(signal)) return;
        logger.warn('platform request failed', { what: resource, error: describeError(error) });
        await waitFor(clock, random.nextFraction() * retryDelayMs, signal);
        retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
      }
    }
  }

  options.supervisor.spawn('configuration', (signal) =>
    runPollLoop('configuration', fetchConfiguration, signal),
  );
  options.supervisor.spawn('hosts', (signal) => runPollLoop('hosts', fetchHostList, signal));
}
