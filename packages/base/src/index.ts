/** Ids, verdicts, clocks, randomness, supervision and helpers that all other packages use. */
export {
  createSystemClock,
  MAX_TIMER_MS,
  isAborted,
  NO_LONGER_NEEDED,
  waitFor,
  type Clock,
} from './lib/clock.js';
export { createDelayTracker, type DelayTracker } from './lib/createDelayTracker.js';
export {
  createMemoryBudget,
  type MemoryBudget,
  type MemoryHolder,
} from './lib/createMemoryBudget.js';
export { createFakeClock, type FakeClock } from './lib/createFakeClock.js';
export { createStallMonitor } from './lib/createStallMonitor.js';
export { createRandom, type Random } from './lib/createRandom.js';
export {
  createStateMachine,
  type StateMachine,
  type TransitionTable,
} from './lib/createStateMachine.js';
export {
  createSupervisor,
  type Supervisor,
  type SupervisorOptions,
  type Task,
} from './lib/createSupervisor.js';
export { describeError } from './lib/describeError.js';
export { computeHash, computeRendezvousOrder, computeWeightedOrder } from './lib/hash.js';
export {
  availabilityZoneIdSchema,
  backendServerIdSchema,
  hostIdSchema,
  modelIdSchema,
  pipelineIdSchema,
  poolIdSchema,
  processIdSchema,
  rankIdSchema,
  requestIdSchema,
  softwareVersionSchema,
  stageIdSchema,
  workspaceIdSchema,
  type AvailabilityZoneId,
  type BackendServerId,
  type HostId,
  type ModelId,
  type PipelineId,
  type PoolId,
  type ProcessId,
  type RankId,
  type RequestId,
  type SoftwareVersion,
  type StageId,
  type WorkspaceId,
} from './lib/ids.js';
export { findFreePort } from './lib/findFreePort.js';
export { guardListeners } from './lib/guardListeners.js';
export { listEntries } from './lib/listEntries.js';
export { readPropertyOptions } from './lib/readPropertyOptions.js';
export {
  createNotRunFailure,
  executionSchema,
  failureReasonSchema,
  mergeExecution,
  type Execution,
  type Failure,
  type FailureReason,
} from './lib/Verdict.js';
export { suspectReportSchema, type SuspectReport } from './lib/SuspectReport.js';
