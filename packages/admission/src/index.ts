/** Admission control: workspace limits, queues per pool, ranks, fair shares and load shedding. */
export { apportionSlots, type ApportionOptions } from './lib/apportionSlots.js';
export { createDemandSmoother, type DemandSmoother } from './lib/createDemandSmoother.js';
export { createFleetDemand, type FleetDemand, type HostDemand } from './lib/createFleetDemand.js';
export {
  createFleetStability,
  type FleetStability,
  type FleetStabilityOptions,
  type LostHost,
} from './lib/createFleetStability.js';
export { createRetryBudget, type RetryBudget } from './lib/createRetryBudget.js';
export {
  backoffReportSchema,
  createRequestedBackoffs,
  type BackoffReport,
  type RequestedBackoffs,
  type RequestedBackoffsOptions,
} from './lib/createRequestedBackoffs.js';
export {
  createServerLimits,
  type ServerLimits,
  type ServerLimitsOptions,
} from './lib/createServerLimits.js';
export {
  createServiceEstimator,
  type ServiceEstimate,
  type ServiceEstimator,
} from './lib/createServiceEstimator.js';
export {
  createStageQueue,
  type RankPolicy,
  type Slot,
  type SlotDemand,
  type StageQueue,
  type StageQueueOptions,
} from './lib/createStageQueue.js';
export { createUsageMeter, type UsageMeter } from './lib/createUsageMeter.js';
export {
  createWorkspaceLimiter,
  type WorkspaceLimiter,
  type WorkspaceLimiterOptions,
} from './lib/createWorkspaceLimiter.js';
export {
  createWarmUpShares,
  type ColdServer,
  type WarmUpBounds,
  type WarmUpShares,
  type WarmUpSharesOptions,
} from './lib/createWarmUpShares.js';
export { limitReportSchema, type LimitReport } from './lib/LimitReport.js';
export type { QueueRequest } from './lib/QueueEntry.js';
