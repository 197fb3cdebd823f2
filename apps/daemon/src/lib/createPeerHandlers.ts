import type { BackendServerId, HostId, ProcessId } from '@endiveferry/base';
import type { FleetDemand } from '@endiveferry/admission';
import { handoverSchema, keyedRequestSchema, type Claims } from '@endiveferry/claims';
import type {
  HandleHostRequest,
  Heartbeat,
  PeerNetwork,
  PeerRequestKind,
} from '@endiveferry/peers';
import { hostListSchema } from '@endiveferry/directory';
import type { CrashTracker } from '@endiveferry/routing';
import { z } from 'zod';

import type { ControlState } from './createControlState.js';
import type { SuccessorTable } from './createSuccessorTable.js';

const FETCH_TIMEOUT_MS = 5_000;

const publishedSchema = z.object({ revision: z.int(), document: z.unknown() });

/**
 * Handlers of messages from peers, and the state last received from them.
 *
 * @internal
 */
export interface PeerHandlers {
  readonly receiveHeartbeat: (hostId: HostId, heartbeat: Heartbeat) => void;
  /** Backend servers that at least one peer reports as leaving. */
  readonly listLeavingServers: () => ReadonlySet<BackendServerId>;
  readonly findProcess: (hostId: HostId) => ProcessId | undefined;
  /** Peers that respond and are not draining. */
  readonly listHandoverTargets: () => readonly HostId[];
  readonly handleRequest: HandleHostRequest;
}

/**
 * Options of the peer handlers.
 *
 * @internal
 */
export interface PeerHandlersOptions {
  readonly control: ControlState;
  readonly fleetDemand: FleetDemand;
  readonly successors: SuccessorTable;
  readonly crashes: Pick<CrashTracker, 'applyReports'>;
  readonly getNetwork: () => PeerNetwork<Heartbeat>;
  readonly getClaims: () => Claims;
  /** Called when the set of leaving backend servers may have changed. */
  readonly onLeavingServersChange: () => void;
}

/**
 * Creates the handlers of heartbeats and requests from peers.
 *
 * @param options - see {@link PeerHandlersOptions}
 * @returns the handlers, without any received state
 * @internal
 */
export function createPeerHandlers(options: PeerHandlersOptions): PeerHandlers {
  const { control, fleetDemand, getNetwork, getClaims } = options;
  const heartbeats = new Map<HostId, Heartbeat>();
  const activeFetches = new Set<PeerRequestKind>();

  /** Fetches newer state from a peer, unless a fetch of the same kind is in progress. */
  async function fetchUpdate(
    hostId: HostId,
    kind: PeerRequestKind,
    apply: (body: unknown) => void,
  ): Promise<void> {
    if (activeFetches.has(kind)) return;
    activeFetches.add(kind);
    const reply = await getNetwork().request(hostId, kind, {}, FETCH_TIMEOUT_MS);
    activeFetches.delete(kind);
    if (reply.isOk()) apply(reply.value);
  }

  function applyConfiguration(hostId: HostId, body: unknown): void {
    const published = publishedSchema.safeParse(body).data;
    if (published !== undefined) control.applyConfiguration(published, hostId);
  }

  function applyHostList(hostId: HostId, body: unknown): void {
    const list = hostListSchema.safeParse(body).data;
    if (list !== undefined) control.applyHostList(list, hostId);
  }

  const handlers: Partial<
    Record<PeerRequestKind, (hostId: HostId, body: unknown) => Promise<unknown>>
  > = {
    'read-configuration': () => Promise.resolve(control.published()),
    'read-host-list': () => Promise.resolve(control.hostList()),
    'forward-request': (_hostId, body) => getClaims().runForwarded(keyedRequestSchema.parse(body)),
    'take-over-keys': (_hostId, body) => {
      getClaims().takeOver(handoverSchema.parse(body));
      getNetwork().sendHeartbeats();
      return Promise.resolve({ isTaken: true });
    },
  };

  return {
    receiveHeartbeat(hostId, heartbeat) {
      heartbeats.set(hostId, heartbeat);
      fleetDemand.recordDemand(hostId, heartbeat.demand);
      options.successors.merge(heartbeat.successors);
      options.crashes.applyReports(heartbeat.suspects, `host ${hostId}`);
      options.onLeavingServersChange();
      if (heartbeat.configurationRevision > control.seenRevision()) {
        void fetchUpdate(hostId, 'read-configuration', (body) => applyConfiguration(hostId, body));
      }
      if (heartbeat.hostListRevision > control.hostListRevision()) {
        void fetchUpdate(hostId, 'read-host-list', (body) => applyHostList(hostId, body));
      } else {
        control.confirmHostList(heartbeat.hostListRevision, heartbeat.hostListAsOf);
      }
    },
    listLeavingServers: () =>
      new Set([...heartbeats.values()].flatMap((heartbeat) => heartbeat.leavingServers)),
    findProcess: (hostId) => heartbeats.get(hostId)?.processId,
    listHandoverTargets: () =>
      getNetwork()
        .listLinks()
        .filter(({ state, lastHeartbeat }) => state === 'up' && lastHeartbeat?.isDraining === false)
        .map(({ hostId }) => hostId),
    handleRequest(hostId, kind, body) {
      const handle = handlers[kind];
      if (handle === undefined) throw new Error(`no handler for requests of kind ${kind}`);
      return handle(hostId, body);
    },
  };
}
