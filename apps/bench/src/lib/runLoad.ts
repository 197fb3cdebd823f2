import type { Random } from '@endiveferry/base';
import { Agent } from 'undici';

import { callFleet, fetchIdempotencyKey, type FleetReply } from './callFleet.js';

/** Maximum number of connections of the load generator to one host. */
const MAX_CONNECTIONS_PER_HOST = 512;
/** Time that a caller waits for a response after the deadline before it aborts, in milliseconds. */
const REPLY_TIMEOUT_MARGIN_MS = 3_000;

/**
 * Requests of one kind, sent at a given rate.
 *
 * @public
 */
export interface Flow {
  readonly name: string;
  readonly workspace: string;
  readonly token: string;
  readonly pipeline: string;
  readonly rank: string;
  readonly deadlineMs: number;
  /** Returns the requests per second at a time, in milliseconds from the start of the run. */
  readonly computeRate: (atMs: number) => number;
  /** Builds the body of a request from its number in the run. */
  readonly buildBody: (number: number) => unknown;
  /** Whether each request carries an idempotency key that a host issued for it. */
  readonly isKeyed?: boolean;
}

/**
 * Outcome of one request.
 *
 * @public
 */
export interface Sample {
  readonly flow: Flow;
  /** Address of the host that the request was sent to. */
  readonly address: string;
  /** Time at which the request was sent, in milliseconds from the start of the run. */
  readonly sentAtMs: number;
  readonly latencyMs: number;
  /** Undefined when the caller received no response. */
  readonly reply: FleetReply | undefined;
  /** Whether the complete response arrived within the deadline. */
  readonly isAttained: boolean;
}

/**
 * Options of {@link runLoad}.
 *
 * @public
 */
export interface LoadOptions {
  readonly flows: readonly Flow[];
  readonly durationMs: number;
  readonly random: Random;
  /** Lists the addresses that the load balancer considers ready; called for each request. */
  readonly listAddresses: () => readonly string[];
  /** Share of requests sent to the first host in addition to its even share; 0 by default. */
  readonly skew?: number;
}

/** Draws the time between two arrivals of a Poisson process, in milliseconds. */
function drawInterarrivalMs(random: Random, rate: number): number {
  return (-Math.log(1 - random.nextFraction()) / rate) * 1_000;
}

/**
 * Generates the arrival times of a flow in milliseconds, by thinning a Poisson process of the
 * flow's highest rate.
 */
function generateArrivals(flow: Flow, durationMs: number, random: Random): number[] {
  let maxRate = 0;
  for (let at = 0; at < durationMs; at += 50) maxRate = Math.max(maxRate, flow.computeRate(at));
  const arrivals: number[] = [];
  if (maxRate === 0) return arrivals;
  for (
    let at = drawInterarrivalMs(random, maxRate);
    at < durationMs;
    at += drawInterarrivalMs(random, maxRate)
  ) {
    if (random.nextFraction() < flow.computeRate(at) / maxRate) arrivals.push(at);
  }
  return arrivals;
}

function chooseAddress(options: LoadOptions): string {
  const addresses = options.listAddresses();
  const isSkewed = options.random.nextFraction() < (options.skew ?? 0);
  const index = isSkewed ? 0 : options.random.nextInteger(addresses.length);
  return addresses[index] ?? '';
}

/**
 * Generates open-loop load: requests are sent on schedule, whether or not earlier ones completed.
 *
 * @param options - see {@link LoadOptions}
 * @returns the outcome of each request
 * @public
 */
export async function runLoad(options: LoadOptions): Promise<readonly Sample[]> {
  const { flows, durationMs, random } = options;
  const dispatcher = new Agent({ connections: MAX_CONNECTIONS_PER_HOST, keepAliveTimeout: 10_000 });
  const arrivals = flows
    .flatMap((flow) => generateArrivals(flow, durationMs, random).map((at) => ({ flow, at })))
    .sort((a, b) => a.at - b.at);
  const samples: Promise<Sample>[] = [];
  const startedAt = performance.now();

  /** The issuer is chosen independently of the host that receives the request, so most differ. */
  const fetchRequestKey = (flow: Flow) => fetchIdempotencyKey(chooseAddress(options), flow.token);

  async function send(flow: Flow, number: number): Promise<Sample> {
    const sentAt = performance.now();
    const address = chooseAddress(options);
    let reply: FleetReply | undefined;
    try {
      const key = flow.isKeyed === true ? await fetchRequestKey(flow) : undefined;
      reply = await callFleet({
        address,
        pipeline: flow.pipeline,
        token: flow.token,
        rank: flow.rank,
        body: flow.buildBody(number),
        dispatcher,
        signal: AbortSignal.timeout(flow.deadlineMs + REPLY_TIMEOUT_MARGIN_MS),
        ...(key === undefined ? {} : { key }),
      });
    } catch {
      reply = undefined;
    }
    const latencyMs = performance.now() - sentAt;
    const isAttained = reply?.status === 200 && latencyMs <= flow.deadlineMs;
    return { flow, address, sentAtMs: sentAt - startedAt, latencyMs, reply, isAttained };
  }

  for (const [number, { flow, at }] of arrivals.entries()) {
    const waitMs = startedAt + at - performance.now();
    if (waitMs > 1) await new Promise((resolve) => setTimeout(resolve, waitMs));
    samples.push(send(flow, number));
  }
  const results = await Promise.all(samples);
  await dispatcher.destroy();
  return results;
}
