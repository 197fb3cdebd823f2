import type { Random } from '@endiveferry/base';
import { Agent } from 'undici';

import { callFleet, fetchKey, type FleetReply } from './callFleet.js';

/** Connections of the load generator to one host. */
const CONNECTIONS = 512;
/** A caller waits this long beyond the deadline before it gives up, in milliseconds. */
const PATIENCE_MS = 3_000;

/**
 * One stream of requests of a kind.
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
  /** Requests a second at a time, in milliseconds from the start of the run. */
  readonly findRate: (atMs: number) => number;
  readonly buildBody: (number: number) => unknown;
  /** Whether each request carries a key that a host issued for it. */
  readonly isKeyed?: boolean;
}

/**
 * What became of one request.
 *
 * @public
 */
export interface Sample {
  readonly flow: Flow;
  /** The host it was sent to. */
  readonly address: string;
  /** When it was sent, in milliseconds from the start of the run. */
  readonly sentAtMs: number;
  readonly latencyMs: number;
  /** Absent when the caller got no reply at all. */
  readonly reply: FleetReply | undefined;
  /** Whether the whole answer came within the deadline. */
  readonly isAttained: boolean;
}

/**
 * Options of a load.
 *
 * @public
 */
export interface LoadOptions {
  readonly flows: readonly Flow[];
  readonly durationMs: number;
  readonly random: Random;
  /** The hosts that the balancer knows as ready, asked for each request. */
  readonly listAddresses: () => readonly string[];
  /** The share of requests that goes to the first host beyond an even part; 0 is even. */
  readonly skew?: number;
}

/** Draws the time to the next arrival of a Poisson process. */
function drawGapMs(random: Random, rate: number): number {
  return (-Math.log(1 - random.nextFraction()) / rate) * 1_000;
}

/** All arrivals of a flow, by thinning a process at its highest rate. */
function planArrivals(flow: Flow, durationMs: number, random: Random): number[] {
  let highest = 0;
  for (let at = 0; at < durationMs; at += 50) highest = Math.max(highest, flow.findRate(at));
  const arrivals: number[] = [];
  if (highest === 0) return arrivals;
  for (let at = drawGapMs(random, highest); at < durationMs; at += drawGapMs(random, highest)) {
    if (random.nextFraction() < flow.findRate(at) / highest) arrivals.push(at);
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
 * Sends an open load: requests arrive whether or not earlier ones were answered.
 *
 * @param options - see {@link LoadOptions}
 * @returns what became of each request
 * @public
 */
export async function runLoad(options: LoadOptions): Promise<readonly Sample[]> {
  const { flows, durationMs, random } = options;
  const dispatcher = new Agent({ connections: CONNECTIONS, keepAliveTimeout: 10_000 });
  const plan = flows
    .flatMap((flow) => planArrivals(flow, durationMs, random).map((at) => ({ flow, at })))
    .sort((a, b) => a.at - b.at);
  const samples: Promise<Sample>[] = [];
  const startedAt = performance.now();

  /** The host that issues a key is seldom the one that the request then comes to. */
  const fetchKeyFrom = (flow: Flow) => fetchKey(chooseAddress(options), flow.token);

  async function send(flow: Flow, number: number): Promise<Sample> {
    const sentAt = performance.now();
    const address = chooseAddress(options);
    let reply: FleetReply | undefined;
    try {
      const key = flow.isKeyed === true ? await fetchKeyFrom(flow) : undefined;
      reply = await callFleet({
        address,
        pipeline: flow.pipeline,
        token: flow.token,
        rank: flow.rank,
        body: flow.buildBody(number),
        dispatcher,
        signal: AbortSignal.timeout(flow.deadlineMs + PATIENCE_MS),
        ...(key === undefined ? {} : { key }),
      });
    } catch {
      reply = undefined;
    }
    const latencyMs = performance.now() - sentAt;
    const isAttained = reply?.status === 200 && latencyMs <= flow.deadlineMs;
    return { flow, address, sentAtMs: sentAt - startedAt, latencyMs, reply, isAttained };
  }

  for (const [number, { flow, at }] of plan.entries()) {
    const waitMs = startedAt + at - performance.now();
    if (waitMs > 1) await new Promise((resolve) => setTimeout(resolve, waitMs));
    samples.push(send(flow, number));
  }
  const results = await Promise.all(samples);
  await dispatcher.destroy();
  return results;
}
