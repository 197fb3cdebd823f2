/** Orders to model engines: who may give them, and how fast. */
export { createLoadRateLimiter, type LoadRateLimiter } from './lib/createLoadRateLimiter.js';
export {
  createPlacementReconciler,
  type PlacementOrder,
  type PlacementReconciler,
  type PlacementReconcilerOptions,
} from './lib/createPlacementReconciler.js';
