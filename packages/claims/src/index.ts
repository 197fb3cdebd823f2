/** Runs requests with idempotency keys at most once across hosts, without shared storage. */
export {
  handoverSchema,
  keyedRequestSchema,
  type Claims,
  type ClaimsOptions,
  type ExecuteKeyed,
  type Handover,
  type HandoverPlan,
  type KeyedRequest,
  type TakenOverProcess,
} from './lib/Claims.js';
export { createClaims } from './lib/createClaims.js';
export {
  createOwnershipView,
  type OwnershipLimits,
  type OwnershipObstacle,
  type OwnershipView,
} from './lib/createOwnershipView.js';
export {
  createKeyIssuer,
  isSignedBy,
  parseIssuedKey,
  type KeyIssuer,
} from './lib/createKeyIssuer.js';
export { createKeyRegistry, type KeyRecord, type KeyRegistry } from './lib/createKeyRegistry.js';
export { keyedOutcomeSchema, type KeyedOutcome } from './lib/KeyedOutcome.js';
