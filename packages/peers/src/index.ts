/** Connections between hosts: message framing, TLS, heartbeats and requests. */
export { createAnnouncer } from './lib/createAnnouncer.js';
export { choosePeers, isFullyLinked } from './lib/choosePeers.js';
export {
  createPeerConnection,
  type HandlePeerRequest,
  type PeerConnection,
  type PeerFailure,
} from './lib/createPeerConnection.js';
export type { LinkState } from './lib/createLinkStateMachine.js';
export type { AcceptTunnel, HandleHostRequest } from './lib/startPeerListener.js';
export { createPeerNetwork } from './lib/createPeerNetwork.js';
export type {
  LinkStatus,
  PeerNetwork,
  PeerNetworkOptions,
  TunnelReply,
} from './lib/PeerNetwork.js';
export {
  heartbeatCodec,
  heartbeatSchema,
  type Heartbeat,
  type HeartbeatCodec,
  type PeerRequestKind,
  type Successor,
} from './lib/messages.js';
export type { TlsKeys } from './lib/openPeerSocket.js';
