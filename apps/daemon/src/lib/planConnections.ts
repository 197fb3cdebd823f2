/** Memory that the process takes without bodies: 90 MB at rest, and garbage, in bytes. */
const FIXED_BYTES = 120_000_000;
/** Share of the other memory that the bodies of callers' requests may take. */
const BODIES_SHARE = 1 / 4;
/** Smallest memory for bodies, in bytes: two of the usual maximum size. */
const MIN_BODY_BYTES = 8_500_000;
/** Share of the memory that the connections of callers may take with unfinished headers. */
const HEADERS_SHARE = 1 / 4;
/** Memory of a connection whose headers have the largest size that is read, in bytes. */
const CONNECTION_BYTES = 65_536;
/** Share of the descriptors for connections of callers; as many remain for backend servers. */
const CALLERS_SHARE = 1 / 2;
/** Share of the descriptors for each listener of health checks and metrics. */
const OPERATORS_SHARE = 1 / 16;

/** Resources of a process. @internal */
export interface ProcessLimits {
  /** Memory of the machine that the process may use, in bytes. */
  readonly memoryBytes: number;
  /** Number of descriptors that it may have open. */
  readonly maxDescriptors: number;
}

/** Limits of the settings file when it has none; the smallest machines have about as much. @internal */
export const DEFAULT_PROCESS_LIMITS: ProcessLimits = {
  memoryBytes: 350_000_000,
  maxDescriptors: 4_096,
};

/** What the listeners of a process may take together. @internal */
export interface ConnectionPlan {
  /** Memory for the bodies of callers' requests, in bytes. */
  readonly bodyBytes: number;
  /** Number of connections of callers. */
  readonly callers: number;
  /** Number of connections to each listener of health checks and metrics. */
  readonly operators: number;
}

/**
 * Divides the resources of a process among its listeners.
 *
 * @param limits - see {@link ProcessLimits}
 * @returns see {@link ConnectionPlan}
 * @internal
 */
export function planConnections({ memoryBytes, maxDescriptors }: ProcessLimits): ConnectionPlan {
  const withHeaders = (memoryBytes * HEADERS_SHARE) / CONNECTION_BYTES;
  return {
    bodyBytes: Math.max(MIN_BODY_BYTES, Math.floor((memoryBytes - FIXED_BYTES) * BODIES_SHARE)),
    callers: Math.max(1, Math.floor(Math.min(maxDescriptors * CALLERS_SHARE, withHeaders))),
    operators: Math.max(1, Math.floor(maxDescriptors * OPERATORS_SHARE)),
  };
}
