/** Runs requests through the stages of their pipelines, each under one end-to-end deadline. */
export {
  createPipelineRunner,
  type PipelineResult,
  type PipelineRunner,
} from './lib/createPipelineRunner.js';
export {
  createPoolSet,
  type PoolRuntime,
  type PoolSet,
  type PoolSetOptions,
} from './lib/createPoolSet.js';
export { resolveInput, type InputSource } from './lib/resolveInput.js';
export type {
  AttemptContext,
  AttemptResult,
  ProgressEvent,
  RequestContext,
  StageHandler,
} from './lib/StageHandler.js';
export { stageHandlers } from './lib/stageHandlers.js';
