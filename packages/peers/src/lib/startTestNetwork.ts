import {
  createRandom,
  createSystemClock,
  hostIdSchema,
  processIdSchema,
  type HostId,
  type Supervisor,
} from '@endiveferry/base';
import { createLogger } from '@endiveferry/telemetry';

import { createPeerNetwork } from './createPeerNetwork.js';
import { heartbeatCodec, type Heartbeat } from './messages.js';
import type { PeerNetwork, PeerNetworkOptions } from './PeerNetwork.js';

/** Id of the first test host. @internal */
export const hostA = hostIdSchema.parse('host-a');
/** Id of the second test host. @internal */
export const hostB = hostIdSchema.parse('host-b');

/** Required options of a test network, and optional replacements of the defaults. @internal */
export type TestNetworkOptions = { readonly supervisor: Supervisor } & Pick<
  PeerNetworkOptions<Heartbeat>,
  'findAddress' | 'buildHeartbeat' | 'handleRequest'
> &
  Partial<PeerNetworkOptions<Heartbeat>>;

/**
 * Starts the peer network of a test host. By default it listens on a free loopback port without TLS
 * and treats all hosts as listed.
 *
 * @param hostId - id of the host
 * @param options - see {@link TestNetworkOptions}
 * @returns the network
 * @internal
 */
export function startTestNetwork(
  hostId: HostId,
  options: TestNetworkOptions,
): Promise<PeerNetwork<Heartbeat>> {
  return createPeerNetwork({
    hostId,
    processId: processIdSchema.parse(`process-${hostId}`),
    address: '127.0.0.1:0',
    keys: () => undefined,
    clock: createSystemClock(),
    random: createRandom(1),
    logger: createLogger(hostId, 'error'),
    isListed: () => true,
    codec: heartbeatCodec,
    onHeartbeat: () => undefined,
    ...options,
    supervisor: options.supervisor.createChild(hostId),
  });
}
