/** Choice of a backend server for a call, health of the servers, and sending of calls. */
export type { ChoiceRequest } from './lib/chooseServer.js';
export { chooseSubset } from './lib/chooseSubset.js';
export { computeOwnSlots } from './lib/computeOwnSlots.js';
export { createPoolRouter } from './lib/createPoolRouter.js';
export type { PoolRouter, PoolRouterOptions, ServerLease, ServerStatus } from './lib/PoolRouter.js';
export { computePrefixes, createPrefixIndex, type PrefixIndex } from './lib/createPrefixIndex.js';
export {
  createCrashTracker,
  MIN_CRASH_RUN_MS,
  type BlockedPart,
  type CrashTracker,
  type CrashTrackerOptions,
} from './lib/createCrashTracker.js';
export {
  createServerConnections,
  type ConnectionOptions,
  type OpenServerSocket,
  type ServerConnections,
} from './lib/createServerConnections.js';
export type { CallIds, SentId } from './lib/createIdentifiedClient.js';
export { createServerHealth, type ServerHealth } from './lib/createServerHealth.js';
export type { ServerSocket } from './lib/ServerSocket.js';
export { loadReportSchema, type LoadReport } from './lib/LoadReport.js';
export {
  sendCall,
  type Call,
  type CallResult,
  type HttpHeaders,
  type ResponseStart,
} from './lib/sendCall.js';
