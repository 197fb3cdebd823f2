import type { HostId, RequestId, StageId } from '@endiveferry/base';
// Must be imported before roarr, which reads its environment variable when it is loaded.
import './enableRoarr.js';

import { ROARR, Roarr } from 'roarr';

/** Severity of a log line. @public */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error';

/**
 * Structured fields of a log line. Bodies, tokens and keys are never logged and have no field here.
 *
 * @public
 */
export interface LogContext {
  readonly requestId?: RequestId;
  readonly stageId?: StageId;
  readonly [name: string]: string | number | boolean | readonly string[] | undefined;
}

/** Writes log lines. @public */
export type Logger = Readonly<Record<LogLevel, (message: string, context?: LogContext) => void>>;

const levelSeverities: Record<LogLevel, number> = {
  trace: 0,
  debug: 1,
  info: 2,
  warn: 3,
  error: 4,
};

/**
 * Sets the function with which all loggers of this process write their JSON lines.
 *
 * @param write - receives one line without its line terminator
 * @public
 */
export function setLogWriter(write: (line: string) => void): void {
  ROARR.write = write;
}

/**
 * Creates a logger that writes JSON lines.
 *
 * @param hostId - host that is named in each line
 * @param level - minimum severity of the lines that are written
 * @returns the logger
 * @public
 */
export function createLogger(hostId: HostId, level: LogLevel): Logger {
  const log = Roarr.child({ application: 'endiveferryd', host: hostId });
  const createWriter = (lineLevel: LogLevel) => {
    if (levelSeverities[lineLevel] < levelSeverities[level]) return () => undefined;
    return (message: string, context: LogContext = {}) => log[lineLevel]({ ...context }, message);
  };
  return {
    trace: createWriter('trace'),
    debug: createWriter('debug'),
    info: createWriter('info'),
    warn: createWriter('warn'),
    error: createWriter('error'),
  };
}
