/** Which backend server gets a call, what is known of its health, and how the call is sent. */
export type { ChoiceRequest } from './lib/chooseServer.js';
export { chooseSubset } from './lib/chooseSubset.js';
export { computeOwnSlots } from './lib/computeOwnSlots.js';
export { createPoolRouter } from './lib/createPoolRouter.js';
export type { PoolRouter, PoolRouterOptions, ServerLease, ServerStatus } from './lib/PoolRouter.js';
export { computePrefixes, createPrefixIndex, type PrefixIndex } from './lib/createPrefixIndex.js';
export {
  createServerConnections,
  type ConnectionOptions,
  type ServerConnections,
} from './lib/createServerConnections.js';
export { createServerHealth, type ServerHealth } from './lib/createServerHealth.js';
export { loadReportSchema, type LoadReport } from './lib/LoadReport.js';
export {
  sendCall,
  type ResponseHeaders,
  type ResponseStart,
  type Call,
  type CallResult,
} from './lib/sendCall.js';
