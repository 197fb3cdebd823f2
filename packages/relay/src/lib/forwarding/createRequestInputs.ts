import type { Clock } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';

import type { AdmittedRequest } from './admitRequest.js';
import type { InputPreparer } from './createInputPreparer.js';
import type { EngineInputs } from './ForwardRequest.js';
import type { StagesOutput } from '../stages/runStages.js';

/** The stage results of one request. @internal */
export interface RequestInputs {
  readonly describe: () => EngineInputs;
  /**
   * Frees the results and runs the stages again, until a signal aborts; resolves to undefined when
   * that fails.
   */
  readonly renew: (signal: AbortSignal) => Promise<EngineInputs | undefined>;
  readonly free: () => void;
  /** Returns the monotonic time at which those of the first event were ready, in milliseconds. */
  readonly preparedAt: () => number;
}

/** Options of {@link createRequestInputs}. @internal */
export interface RequestInputsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly preparer: InputPreparer;
  readonly admitted: AdmittedRequest;
  /** Results of the first run; undefined for a request without stages. */
  readonly output: StagesOutput | undefined;
  /** Whether the response has started, so that the request has the time of a stream. */
  readonly hasStarted: () => boolean;
}

/**
 * Creates the stage results of a request whose stages have run.
 *
 * @param options - see {@link RequestInputsOptions}
 * @returns the results
 * @internal
 */
export function createRequestInputs(options: RequestInputsOptions): RequestInputs {
  const { clock, logger, preparer, admitted, hasStarted } = options;
  let { output } = options;
  let preparedAt = clock.now();

  function free(): void {
    output?.free();
    output = undefined;
  }

  async function renew(signal: AbortSignal): Promise<EngineInputs | undefined> {
    free();
    const endAt = hasStarted() ? admitted.streamEndAt : admitted.endAt;
    const renewed = await preparer.prepare({ ...admitted, endAt }, signal);
    if (signal.aborted) {
      renewed.map((unused) => unused?.free());
      return undefined;
    }
    if (!hasStarted()) preparedAt = clock.now();
    if (renewed.isErr()) {
      const { reason, detail } = renewed.error;
      logger.warn('failed to renew lost inputs', {
        requestId: admitted.metadata.requestId,
        reason,
        detail,
      });
      return undefined;
    }
    output = renewed.value;
    return preparer.describe(output);
  }

  return {
    describe: () => preparer.describe(output),
    renew,
    free,
    preparedAt: () => preparedAt,
  };
}
