import type { HostId, RequestId, StageId } from '@endiveferry/base';
// The order matters: see there.
import './enableRoarr.js';

import { ROARR, Roarr } from 'roarr';

/** How severe a log line is. @public */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error';

/**
 * What a log line may carry besides its message. Bodies, tokens and keys have no field here.
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

const levelOrder: Record<LogLevel, number> = { trace: 0, debug: 1, info: 2, warn: 3, error: 4 };

/**
 * Chooses where every logger of this process writes its JSON lines.
 *
 * @param write - takes one line without its line end
 * @public
 */
export function setLogWriter(write: (line: string) => void): void {
  ROARR.write = write;
}

/**
 * Creates a logger that writes JSON lines.
 *
 * @param hostId - the host that writes
 * @param level - the least severe level that is written
 * @returns the logger
 * @public
 */
export function createLogger(hostId: HostId, level: LogLevel): Logger {
  const log = Roarr.child({ application: 'endiveferryd', host: hostId });
  const createWriter = (lineLevel: LogLevel) => {
    if (levelOrder[lineLevel] < levelOrder[level]) return () => undefined;
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
