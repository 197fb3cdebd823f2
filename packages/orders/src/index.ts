/** Orders that place models on engines: which host may send them, and at what rate. */
export { createLoadRateLimiter, type LoadRateLimiter } from './lib/createLoadRateLimiter.js';
export {
  createPlacementReconciler,
  type PlacementOrder,
  type PlacementReconciler,
  type PlacementReconcilerOptions,
} from './lib/createPlacementReconciler.js';
