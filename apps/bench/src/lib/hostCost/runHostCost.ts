import { sendShopCall, type ShopCallKind } from '@endiveferry/platform';
import { Agent } from 'undici';

import { measureProcess } from './measureProcess.js';
import { writeHostCost } from './writeHostCost.js';
import { startHostWorld, type HostWorld, type WorldSize } from './startHostWorld.js';

/** Seconds after the start that are measured without requests. */
const START_SECONDS = 26;
/** Last of these seconds, in which the fleet is at rest. */
const REST_SECONDS = 8;
const CALLS_PER_SECOND = 20;
const COLD_CALLS = 40;
const WARM_CALLS = 200;
const GROUPS = 600;
const GROUPS_PER_SECOND = 100;
const PIECES_PER_GROUP = 12;
const INPUTS_PER_GROUP = 8;
const CALLER_CONNECTIONS = 20;
const MILLISECONDS_PER_SECOND = 1_000;

/** Processor time of one call, in milliseconds, without what the host uses at rest. */
interface CallCost {
  readonly coldMs: number;
  readonly warmMs: number;
  /** Calls that were not answered with success. */
  readonly failed: number;
}

/** What one host costs in a fleet of one size. @public */
export interface HostCost {
  /** Processor time of a group of pieces at its dispatcher, in milliseconds. */
  readonly groupMs: number | undefined;
  readonly peers: number;
  readonly servers: number;
  /** Processor time from the start to each second, in milliseconds. */
  readonly startMs: readonly number[];
  readonly restMsPerSecond: number;
  readonly storeCallsAtStart: number;
  readonly storeCallsPerSecond: number;
  readonly loggedBytesAtStart: number;
  readonly residentMb: number;
  readonly callMs: Readonly<Partial<Record<ShopCallKind, CallCost>>>;
}

const waitMs = (durationMs: number) => new Promise((resolve) => setTimeout(resolve, durationMs));

/** Measures the start and the rest after it, second by second. */
async function measureStart({ host, countStoreCalls }: HostWorld) {
  const startedAt = performance.now();
  const startMs: number[] = [];
  const storeCalls: number[] = [];
  for (let second = 1; second <= START_SECONDS; second += 1) {
    await waitMs(second * MILLISECONDS_PER_SECOND - (performance.now() - startedAt));
    startMs.push(Math.round(measureProcess(host.pid).processorMs));
    storeCalls.push(countStoreCalls());
  }
  const computeRate = (values: readonly number[]) =>
    ((values.at(-1) ?? 0) - (values.at(-1 - REST_SECONDS) ?? 0)) / REST_SECONDS;
  return {
    startMs,
    restMsPerSecond: computeRate(startMs),
    storeCallsAtStart: storeCalls.at(-1) ?? 0,
    storeCallsPerSecond: computeRate(storeCalls),
    loggedBytesAtStart: host.countLoggedBytes(),
    residentMb: measureProcess(host.pid).residentMb,
  };
}

/** What is sent to the host at a fixed rate. */
interface SteadyLoad {
  readonly count: number;
  readonly perSecond: number;
  /** Sends one; resolves to whether it was answered with success. */
  readonly send: (index: number) => Promise<boolean>;
}

/** Sends a load and returns what each costs the host, without the cost of rest. */
async function measureLoad(
  { host }: HostWorld,
  restMsPerSecond: number,
  { count, perSecond, send }: SteadyLoad,
): Promise<{ readonly eachMs: number; readonly failed: number }> {
  const startedAt = performance.now();
  const before = measureProcess(host.pid).processorMs;
  const pending: Promise<boolean>[] = [];
  for (let index = 0; index < count; index += 1) {
    pending.push(send(index));
    await waitMs(MILLISECONDS_PER_SECOND / perSecond);
  }
  const answered = await Promise.all(pending);
  const usedMs = measureProcess(host.pid).processorMs - before;
  const seconds = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
  return {
    eachMs: (usedMs - seconds * restMsPerSecond) / count,
    failed: answered.filter((isSuccess) => !isSuccess).length,
  };
}

/** Measures calls of one kind, the first ones apart. */
async function measureCalls(
  world: HostWorld,
  kind: ShopCallKind,
  restMsPerSecond: number,
): Promise<CallCost> {
  const measure = async (count: number) => {
    const dispatcher = new Agent({ connections: CALLER_CONNECTIONS });
    const send = (index: number) =>
      sendShopCall(world.host.callersAddress, kind, `${kind}-${count}-${index}`, dispatcher).then(
        (status) => status === 200,
        () => false,
      );
    const cost = await measureLoad(world, restMsPerSecond, {
      count,
      perSecond: CALLS_PER_SECOND,
      send,
    });
    await dispatcher.close();
    return cost;
  };
  const cold = await measure(COLD_CALLS);
  const warm = await measure(WARM_CALLS);
  return { coldMs: cold.eachMs, warmMs: warm.eachMs, failed: cold.failed + warm.failed };
}

/** Builds a group of pieces of a following stage, as another host sends it. */
const buildGroup = (index: number) => ({
  poolId: 'pack',
  orderId: `group-${index}`,
  requestId: `group-${index}`,
  stageIndex: 1,
  pieceCount: PIECES_PER_GROUP,
  rank: 1,
  inputs: Array.from({ length: INPUTS_PER_GROUP }, (_, input) => `10.1.64.9:8080/${input}-made`),
  homeZone: 'zone-a',
  movedBytes: 1_000,
  isEntry: false,
  followers: [],
  inputsRemainingMs: 4_000,
  resultBytes: 500,
  remainingMs: 3_000,
  targetRemainingMs: 1_000,
});

/** Measures groups of pieces at their dispatcher. */
async function measureGroups(world: HostWorld, restMsPerSecond: number): Promise<number> {
  const { eachMs } = await measureLoad(world, restMsPerSecond, {
    count: GROUPS,
    perSecond: GROUPS_PER_SECOND,
    send: (index) => world.sendPieces(buildGroup(index)),
  });
  return eachMs;
}

/**
 * Measures what one host costs: its start together with all others, its rest, and calls.
 *
 * @param size - the fleet around it
 * @param kinds - the kinds of calls to measure
 * @returns the cost
 * @throws Error when the host does not become ready
 * @public
 */
export async function measureHostCost(
  size: WorldSize,
  kinds: readonly ShopCallKind[],
): Promise<HostCost> {
  const world = await startHostWorld(size);
  try {
    const start = await measureStart(world);
    if (!(await world.host.isReady()))
      throw new Error(`the host did not become ready: ${world.host.readErrors()}`);
    const callMs: Partial<Record<ShopCallKind, CallCost>> = {};
    for (const kind of kinds) callMs[kind] = await measureCalls(world, kind, start.restMsPerSecond);
    const groupMs =
      size.isDispatcher && kinds.length > 0
        ? await measureGroups(world, start.restMsPerSecond)
        : undefined;
    return { groupMs, peers: size.peers, servers: size.servers, ...start, callMs };
  } finally {
    await world.close();
  }
}

/** Fleets whose start and rest are measured. */
const START_SIZES = [
  { peers: 5, servers: 40 },
  { peers: 70, servers: 115 },
  { peers: 194, servers: 180 },
  { peers: 299, servers: 220 },
] as const;
/** Fleet in which calls are measured. */
const CALL_SIZE = { peers: 19, servers: 40 };

/**
 * Measures what a host costs in fleets of several sizes, and calls at the dispatcher of their stages
 * and at another host. The bundle has to be built before.
 *
 * @param _seed - not used: the work is the same in each run
 * @param reportFolder - folder for a page with the processor time second by second
 * @returns the costs
 * @throws Error when a host does not become ready
 * @public
 */
export async function runHostCost(
  _seed: number,
  reportFolder: string | undefined,
): Promise<{ readonly start: readonly HostCost[]; readonly calls: readonly HostCost[] }> {
  const start: HostCost[] = [];
  for (const size of START_SIZES)
    start.push(await measureHostCost({ ...size, isDispatcher: true }, []));
  const calls = [
    await measureHostCost({ ...CALL_SIZE, isDispatcher: true }, [
      'plain',
      'stream',
      'staged-stream',
    ]),
    await measureHostCost({ ...CALL_SIZE, isDispatcher: false }, ['staged-stream']),
  ];
  if (reportFolder !== undefined) await writeHostCost(reportFolder, start);
  return { start, calls };
}
