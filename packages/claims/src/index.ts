/** Running keyed requests at most once across hosts, without a shared record. */
export {
  handOverSchema,
  keyedRequestSchema,
  type Claims,
  type ClaimsOptions,
  type ExecuteKeyed,
  type HandOver,
  type HandOverPlan,
  type KeyedRequest,
  type TakenOver,
} from './lib/Claims.js';
export { createClaims } from './lib/createClaims.js';
export {
  createHomeView,
  type HomeLimits,
  type HomeObstacle,
  type HomeView,
} from './lib/createHomeView.js';
export {
  createKeyIssuer,
  isSignedBy,
  parseIssuedKey,
  type KeyIssuer,
} from './lib/createKeyIssuer.js';
export { createKeyRegistry, type KeyRecord, type KeyRegistry } from './lib/createKeyRegistry.js';
export { keyedOutcomeSchema, type KeyedOutcome } from './lib/KeyedOutcome.js';
