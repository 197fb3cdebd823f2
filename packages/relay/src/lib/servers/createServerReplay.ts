import {
  availabilityZoneIdSchema,
  backendServerIdSchema,
  createFakeClock,
  createRandom,
  hostIdSchema,
  poolIdSchema,
  type FakeClock,
  type Random,
} from '@endiveferry/base';
import { createLogger, setLogWriter } from '@endiveferry/telemetry';

import { choosePlainServer } from './chooseBackend.js';
import { createBackends } from './createBackends.js';
import { createServerRamps, type ServerRamps } from './createServerRamps.js';
import { createSimulatedServer, type SimulatedServer } from './createSimulatedServer.js';
import type { ListedServer } from '../RelayConfiguration.js';

setLogWriter(() => undefined);

const zone = availabilityZoneIdSchema.parse('a');
const poolId = poolIdSchema.parse('pool');
const MAX_ATTEMPTS = 3;
/** Number of hosts that a host exchanges heartbeats with. */
const LINKS = 8;

/** Options of {@link createServerReplay}. @internal */
export interface ServerReplayOptions {
  readonly seed: number;
  readonly hosts: number;
  readonly servers: number;
  readonly slots: number;
  readonly queueLimit: number;
  /** Mean duration of a request's work, in milliseconds. */
  readonly workMs: number;
  /** Mean arrivals at all hosts, per second. */
  readonly perSecond: number;
  readonly hasRamps: boolean;
  readonly heartbeatMs: number;
  /** Returns the factor on the duration of work at a server. */
  readonly findSlowness: (index: number, now: number) => number;
  /** Returns the slowdown that a server reports. */
  readonly report?: (index: number, now: number) => number | undefined;
}

/** The end of one attempt at a server. @internal */
export interface ReplayedCall {
  readonly index: number;
  readonly answer: 'served' | 'rejected' | 'lost';
  readonly sentAt: number;
  readonly endedAt: number;
}

/** Hosts that send requests to simulated plain servers. @internal */
export interface ServerReplay {
  readonly clock: FakeClock;
  readonly random: Random;
  readonly servers: readonly SimulatedServer[];
  readonly ramps: readonly ServerRamps[];
  /** All attempts that have ended. */
  readonly calls: readonly ReplayedCall[];
  /** Returns the number of requests that no server served. */
  readonly countFailed: () => number;
  /** Changes the entry of a server; undefined removes it. Hosts see it within half a second. */
  readonly setEntry: (index: number, entry: Partial<ListedServer> | undefined) => void;
  /** Starts a server again under a new entry. */
  readonly restart: (index: number) => void;
  readonly close: () => Promise<void>;
}

/**
 * Creates hosts, and servers that all hosts have in their first lists, under load.
 *
 * @param options - see {@link ServerReplayOptions}
 * @returns the replay, at its start
 * @internal
 */
export function createServerReplay(options: ServerReplayOptions): ServerReplay {
  const { slots, queueLimit } = options;
  const clock = createFakeClock();
  const random = createRandom(options.seed);
  const draw = (meanMs: number) => -Math.log(1 - random.nextFraction()) * meanMs;
  const logger = createLogger(hostIdSchema.parse('host'), 'error');
  const hostIds = Array.from({ length: options.hosts }, (_, index) =>
    hostIdSchema.parse(`host-${index}`),
  );
  const servers = Array.from({ length: options.servers }, (_, index) =>
    createSimulatedServer({
      clock,
      slots,
      queueLimit,
      findSlowness: (now) => options.findSlowness(index, now),
    }),
  );
  const entries = new Map(
    servers.map((_, index): [number, ListedServer] => [
      index,
      {
        serverId: backendServerIdSchema.parse(`server-${index}`),
        poolId,
        address: `10.0.0.1:${1_000 + index}`,
        availabilityZone: zone,
        slots,
        isLeaving: false,
        startedAt: 1,
      },
    ]),
  );
  /** With the entries that were removed. */
  const lastEntries = new Map(entries);
  const pools = new Map([[poolId, { poolId, healthPath: '/', maxConnections: 400 }]]);
  const hosts = hostIds.map((hostId) => {
    const ramps = createServerRamps({
      clock,
      logger,
      hostId,
      listHosts: () => hostIds,
      countUnits: () => slots,
      onReduced: () => undefined,
    });
    const backends = createBackends({
      clock,
      random,
      logger,
      countHosts: () => hostIds.length,
      paths: {
        openSocket: (_address, connectDirectly) => connectDirectly(),
        startCall: () => () => undefined,
      },
      ...(options.hasRamps ? { ramps } : {}),
    });
    const update = () => {
      const listed = [...entries.values()];
      backends.update(listed, pools);
      ramps.update(listed);
    };
    update();
    return { ramps, backends, update };
  });
  type Host = (typeof hosts)[number];
  const calls: ReplayedCall[] = [];
  let failed = 0;
  const limits = {
    isLimited: () => false,
    maySend: () => true,
    isRefreshDue: () => false,
    backoffs: { findRemainingMs: () => 0 } as never,
  };

  function attempt(host: Host, workMs: number, attempted: ReadonlySet<number>): void {
    const sentAt = clock.now();
    const attemptedIds = [...attempted].flatMap((index) => entries.get(index)?.serverId ?? []);
    const backend = choosePlainServer({
      candidates: host.backends.listPool(poolId),
      attemptedIds: new Set(attemptedIds),
      availabilityZone: zone,
      limits,
      jitter: () => random.nextFraction(),
    });
    if (backend === undefined || attempted.size === MAX_ATTEMPTS) {
      failed += 1;
      return;
    }
    const index = Number(backend.server.serverId.split('-')[1]);
    const server = servers[index];
    const call = backend.startCall(0);
    server?.send(workMs, (answer) => {
      call.end();
      calls.push({ index, answer, sentAt, endedAt: clock.now() });
      const slowdown = options.report?.(index, clock.now());
      const load = { ...server.load(), ...(slowdown === undefined ? {} : { slowdown }) };
      const record = {
        served() {
          backend.recordLoad(load);
          backend.recordSuccess();
          backend.recordDuration(sentAt);
        },
        rejected() {
          backend.recordLoad(load);
          backend.recordRejection(sentAt);
        },
        lost: () => backend.recordFailure(sentAt),
      };
      record[answer]();
      if (answer !== 'served') attempt(host, workMs, new Set([...attempted, index]));
    });
  }

  function scheduleNext(): void {
    clock.schedule(draw(1_000 / options.perSecond), () => {
      const host = hosts[random.nextInteger(hosts.length)];
      const workMs = options.workMs * (0.7 + 0.6 * random.nextFraction());
      if (host !== undefined) attempt(host, workMs, new Set());
      scheduleNext();
    });
  }

  function exchange(host: Host): void {
    const reports = host.ramps.listReports();
    for (let link = 0; link < Math.min(LINKS, hosts.length); link += 1)
      hosts[random.nextInteger(hosts.length)]?.ramps.applyReports(reports, 'a host');
    clock.schedule(options.heartbeatMs, () => exchange(host));
  }

  for (const host of hosts)
    clock.schedule(random.nextFraction() * options.heartbeatMs, () => exchange(host));
  scheduleNext();

  function setEntry(index: number, entry: Partial<ListedServer> | undefined): void {
    const known = lastEntries.get(index);
    if (entry === undefined) entries.delete(index);
    else if (known !== undefined) {
      lastEntries.set(index, { ...known, ...entry });
      entries.set(index, { ...known, ...entry });
    }
    for (const { update } of hosts) clock.schedule(random.nextFraction() * 500, update);
  }

  return {
    clock,
    random,
    servers,
    ramps: hosts.map(({ ramps }) => ramps),
    calls,
    countFailed: () => failed,
    setEntry,
    restart(index) {
      servers[index]?.start();
      setEntry(index, { startedAt: clock.now() + 1 });
    },
    async close() {
      await Promise.all(hosts.map(({ backends }) => backends.close()));
    },
  };
}
