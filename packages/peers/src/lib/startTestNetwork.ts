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

/** Two hosts of tests. @internal */
export const hostA = hostIdSchema.parse('host-a');
/** See {@link hostA}. @internal */
export const hostB = hostIdSchema.parse('host-b');

/** What differs between the hosts of tests. @internal */
export type TestNetworkOptions = { readonly supervisor: Supervisor } & Pick<
  PeerNetworkOptions<Heartbeat>,
  'findAddress' | 'buildHeartbeat' | 'handleRequest'
> &
  Partial<PeerNetworkOptions<Heartbeat>>;

/**
 * Starts the network of one host of a test, on any port of loopback.
 *
 * @param hostId - the host
 * @param options - what differs from a plain host whose peers are all listed
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
