/**
 * Routes requests by host name and path, runs the stages of their pipelines, and forwards them
 * unchanged to backend servers.
 */
export { createBackends, type Backend, type Backends } from './lib/createBackends.js';
export type { CallerConnection } from './lib/CallerConnection.js';
export {
  createConfigurationTracker,
  type ConfigurationTracker,
  type ActiveConfiguration,
} from './lib/createConfigurationTracker.js';
export { createFleet, type Fleet, type FleetOptions } from './lib/createFleet.js';
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
} from './lib/createRelayService.js';
export { connectSocket } from './lib/connectSocket.js';
export { createServerPaths, type ServerPaths } from './lib/createServerPaths.js';
export { createTunnels, type Tunnels, type TunnelsOptions } from './lib/tunnels/createTunnels.js';
export {
  createLeavingServers,
  type LeavingReport,
  type LeavingServers,
  type LeavingServersOptions,
  type ServerStart,
} from './lib/createLeavingServers.js';
export {
  createServerList,
  type ServerList,
  type ServerListOptions,
} from './lib/createServerList.js';
export {
  createServerSignals,
  type ServerSignals,
  type ServerSignalsOptions,
} from './lib/createServerSignals.js';
export {
  createStopDeadline,
  type StopDeadline,
  type StopDeadlineControl,
} from './lib/createStopDeadline.js';
export { createStageClient, type StageClient } from './lib/createStageClient.js';
export {
  createStoreEpochs,
  type ConfigurationEntry,
  type StoreEpochs,
} from './lib/createStoreEpochs.js';
export {
  createStoreReading,
  type StoreReading,
  type StoreReadingOptions,
} from './lib/createStoreReading.js';
export { createDualClock, type DualTimestamp, type DualClock } from './lib/createDualClock.js';
export { createPieceDispatcher } from './lib/pieces/createPieceDispatcher.js';
export { createWaitTable, type WaitTable } from './lib/pieces/createWaitTable.js';
export type { PieceDispatcher, BatchOutcome } from './lib/pieces/PieceDispatcher.js';
export { findWaitMs, type EstimateWaitMs, type RankWait } from './lib/pieces/RankWait.js';
export type {
  ResponseMetadata,
  BackendRequest,
  RequestMetadata,
  ForwardMetadata,
  HostEnvironment,
  CallerResponse,
  PieceRequest,
  PieceFailure,
  PieceOutcome,
  PromptPart,
  CallerRequest,
  ReportedLoad,
  ServerChange,
  StoreReaderOptions,
  StoreListener,
  WireProtocol,
} from './lib/ports.js';
export type {
  CallerLimits,
  EngineCapacity,
  ListedServer,
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
export type { Responder } from './lib/Responder.js';
export type { StorePosition } from './lib/StorePosition.js';
export {
  createStreamOrigins,
  type StreamOrigins,
  type StreamOriginsOptions,
} from './lib/streams/createStreamOrigins.js';
export { createVersionHistory, type VersionHistory } from './lib/streams/createVersionHistory.js';
export type { StreamOrigin, VersionReport } from './lib/streams/StreamOrigin.js';
export { runStages, type SizedResult, type StagesOutput, type StagesRun } from './lib/runStages.js';
