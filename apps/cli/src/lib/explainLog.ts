/** A parsed line of a host's log. @internal */
export interface LogLine {
  /** Unix time in milliseconds, by the host's clock. */
  readonly time: number;
  readonly host: string;
  readonly message: string;
  readonly context: Readonly<Record<string, unknown>>;
}

/** The history of a request, collected from the logs of all hosts. @internal */
export interface LogExplanation {
  readonly requestId: string;
  /** How the request ended, as a sentence. */
  readonly outcome: string;
  /** Lines that refer to the request, by time. */
  readonly decisions: readonly LogLine[];
  /**
   * State changes that were logged shortly before or during the request: by any host about its
   * backend servers, and by its hosts about anything else than a backend server.
   */
  readonly beliefs: readonly LogLine[];
}

/** Messages of the line that a host logs when a request ends. */
const END_MESSAGES: ReadonlySet<string> = new Set([
  'request ended',
  'request rejected at admission',
  // Earlier builds log this message for a rejection at admission.
  'request refused at the door',
]);
/** State changes up to this long before a request may have affected it. */
const STATE_CHANGE_LOOKBACK_MS = 5_000;
/** Context fields that every line has, or that are shown elsewhere. */
const HIDDEN_FIELDS: ReadonlySet<string> = new Set([
  'application',
  'host',
  'logLevel',
  'requestId',
  'requestIds',
]);

/**
 * Parses a log line; log collectors may prepend text to it.
 *
 * @param text - the line
 * @returns the parsed line; undefined when it is not a line of a host's log
 * @internal
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const { context, message, time } = JSON.parse(text.slice(start)) as {
      readonly context?: Readonly<Record<string, unknown>>;
      readonly message?: unknown;
      readonly time?: unknown;
    };
    if (context === undefined || typeof message !== 'string' || typeof time !== 'number') {
      return undefined;
    }
    return { time, host: formatValue(context.host), message, context };
  } catch {
    // Lines of other programs may contain a brace, too.
    return undefined;
  }
}

const formatValue = (value: unknown) => (typeof value === 'string' ? value : JSON.stringify(value));

const listNames = (value: unknown): readonly string[] =>
  [value].flat().filter((name) => typeof name === 'string');

function belongsToRequest({ context }: LogLine, requestId: string): boolean {
  return context.requestId === requestId || listNames(context.requestIds).includes(requestId);
}

function describeOutcome(decisions: readonly LogLine[]): string {
  const end = decisions.findLast(({ message }) => END_MESSAGES.has(message));
  if (end === undefined)
    return 'no host logged its end: it is in progress, or was held by a host that was lost';
  const { status, reason, execution, detail, durationMs } = end.context;
  const answered =
    status === undefined ? 'answered without a status' : `answered ${formatValue(status)}`;
  const took = durationMs === undefined ? '' : ` after ${formatValue(durationMs)} ms`;
  const why = reason === undefined ? '' : `: ${formatValue(reason)}, ${formatValue(detail)}`;
  const ran = execution === undefined ? '' : ` (${formatValue(execution)})`;
  return `${end.host} ${answered}${took}${why}${ran}`;
}

/**
 * Collects the history of a request from the logs of all hosts.
 *
 * @param lines - the lines, in any order
 * @param requestId - id of the request
 * @returns the history; undefined when no line refers to the request
 * @internal
 */
export function explainLog(
  lines: readonly LogLine[],
  requestId: string,
): LogExplanation | undefined {
  const sorted = [...lines].sort((first, second) => first.time - second.time);
  const decisions = sorted.filter((line) => belongsToRequest(line, requestId));
  const [first] = decisions;
  const last = decisions.at(-1);
  if (first === undefined || last === undefined) return undefined;
  const hosts = new Set(decisions.map(({ host }) => host));
  const servers = new Set(
    decisions.flatMap(({ context }) => [
      ...listNames(context.backendServer),
      ...listNames(context.backendServers),
    ]),
  );
  const stateChanges = sorted.filter(({ time, host, context }) => {
    const isInWindow = time >= first.time - STATE_CHANGE_LOOKBACK_MS && time <= last.time;
    const namesRequest = context.requestId !== undefined || context.requestIds !== undefined;
    const isAboutServer = listNames(context.backendServer).some((server) => servers.has(server));
    const isAboutHost = hosts.has(host) && context.backendServer === undefined;
    return isInWindow && !namesRequest && (isAboutServer || isAboutHost);
  });
  return { requestId, outcome: describeOutcome(decisions), decisions, beliefs: stateChanges };
}

function formatLine(line: LogLine, startedAt: number): string {
  const fields = Object.entries(line.context)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  return `${String(line.time - startedAt).padStart(7)} ms  ${line.host}  ${line.message}  ${fields.join(' ')}`;
}

/**
 * Formats an explanation as text; times are relative to the first line of the request.
 *
 * @param explanation - the explanation
 * @returns the lines of text
 * @internal
 */
export function formatLogExplanation({
  requestId,
  outcome,
  decisions,
  beliefs,
}: LogExplanation): string[] {
  const startedAt = decisions[0]?.time ?? 0;
  return [
    `${requestId}: ${outcome}`,
    'Decisions about the request:',
    ...decisions.map((line) => formatLine(line, startedAt)),
    'State changes of hosts and backend servers shortly before and during the request:',
    ...beliefs.map((line) => formatLine(line, startedAt)),
  ];
}
