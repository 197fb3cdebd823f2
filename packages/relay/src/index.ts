/**
 * Routes requests by host name and path, runs the stages of their pipelines, and forwards them
 * unchanged to backend servers.
 */
export { addRetryDelay } from './lib/forwarding/addRetryDelay.js';
export { createBackends, type Backend, type Backends } from './lib/servers/createBackends.js';
export type { CallerConnection } from './lib/CallerConnection.js';
export {
  createConfigurationTracker,
  type ConfigurationTracker,
  type ActiveConfiguration,
} from './lib/store/createConfigurationTracker.js';
export { createFleet, type Fleet, type FleetOptions } from './lib/fleet/createFleet.js';
export {
  createRelayMetrics,
  type BreakProgress,
  type RelayMetrics,
  type StageRequestOutcome,
} from './lib/createRelayMetrics.js';
export {
  createRelayService,
  type RelayService,
  type RelayServiceOptions,
} from './lib/forwarding/createRelayService.js';
export type { ExplainRoute, RouteExplanation } from './lib/forwarding/createRouteExplainer.js';
export { connectSocket } from './lib/servers/connectSocket.js';
export { createServerPaths, type ServerPaths } from './lib/servers/createServerPaths.js';
export { createTunnels, type Tunnels, type TunnelsOptions } from './lib/tunnels/createTunnels.js';
export {
  createEvacuatedZones,
  type EvacuatedZones,
  type EvacuatedZonesOptions,
  type EvacuationReport,
} from './lib/servers/createEvacuatedZones.js';
export {
  createLeavingServers,
  type LeavingReport,
  type LeavingServers,
  type LeavingServersOptions,
  type ServerStart,
} from './lib/servers/createLeavingServers.js';
export { createServerRamps, noRamps, type ServerRamps } from './lib/servers/createServerRamps.js';
export {
  createServerList,
  type ServerList,
  type ServerListOptions,
} from './lib/servers/createServerList.js';
export {
  createWarmUps,
  type WarmUpReport,
  type WarmUps,
  type WarmUpsOptions,
} from './lib/servers/createWarmUps.js';
export {
  createServerSignals,
  type ServerSignals,
  type ServerSignalsOptions,
} from './lib/servers/createServerSignals.js';
export {
  createStopDeadline,
  type StopDeadline,
  type StopDeadlineControl,
} from './lib/createStopDeadline.js';
export {
  createResponseMatcher,
  type ResponseMatcher,
  type ResponseMatcherOptions,
} from './lib/stages/createResponseMatcher.js';
export { createStageClient, type StageClient } from './lib/stages/createStageClient.js';
export {
  createStoreEpochs,
  type ConfigurationEntry,
  type StoreEpochs,
} from './lib/store/createStoreEpochs.js';
export { createStoreReading, type StoreReadingOptions } from './lib/store/createStoreReading.js';
export { createDualClock, type DualTimestamp, type DualClock } from './lib/createDualClock.js';
export { createPieceDispatcher } from './lib/stages/createPieceDispatcher.js';
export { createWaitTable, type WaitTable } from './lib/stages/createWaitTable.js';
export type { PieceDispatcher, ReplicaLimits } from './lib/stages/PieceDispatcher.js';
export { findWaitMs, type EstimateWaitMs, type RankWait } from './lib/RankWait.js';
export type {
  ResponseMetadata,
  BackendRequest,
  RequestMetadata,
  ForwardMetadata,
  CallerResponse,
  BatchOutcome,
  EvacuationChange,
  PieceRequest,
  PieceFailure,
  PieceOutcome,
  PromptPart,
  CallerRequest,
  ReportedLoad,
  ServerChange,
  StoreReaderOptions,
  StoreReading,
  StoreListener,
  WireProtocol,
} from './lib/ports.js';
export type {
  CallerLimits,
  EngineCapacity,
  ListedServer,
  PoolWarmUp,
  PublishedDocument,
  RelayConfiguration,
  RelayPool,
  RelayWorkspace,
  Route,
  RouteKind,
  RouteStage,
  StageCapacity,
  WeightedPool,
} from './lib/RelayConfiguration.js';
export type { HostEnvironment } from './lib/HostEnvironment.js';
export type { Responder } from './lib/Responder.js';
export type { StorePosition } from './lib/StorePosition.js';
export {
  createStreamOrigins,
  type StreamOrigins,
  type StreamOriginsOptions,
} from './lib/streams/createStreamOrigins.js';
export { createVersionHistory, type VersionHistory } from './lib/streams/createVersionHistory.js';
export type { StreamOrigin, VersionReport } from './lib/StreamOrigin.js';
export {
  runStages,
  type SizedResult,
  type StagesOutput,
  type StagesRun,
} from './lib/stages/runStages.js';
