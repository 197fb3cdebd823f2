/** Logs, metrics, and the request traces that `endiveferry explain` prints. */
export { createLatencyHistogram, type LatencyHistogram } from './lib/createLatencyHistogram.js';
export { createLineWriter, type LineWriter } from './lib/createLineWriter.js';
export {
  createLogger,
  setLogWriter,
  type LogContext,
  type Logger,
  type LogLevel,
} from './lib/createLogger.js';
export {
  createMetrics,
  type GaugeValue,
  type Metrics,
  type RequestOutcome,
  type StageCost,
  type WasteCause,
} from './lib/createMetrics.js';
export {
  createTraceStore,
  type RecordEvent,
  type Trace,
  type TraceEvent,
  type TraceStore,
} from './lib/createTraceStore.js';
