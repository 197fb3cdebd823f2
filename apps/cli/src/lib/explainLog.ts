/** One line of a host's log. @internal */
export interface LogLine {
  /** Milliseconds since 1970, by the host's own clock. */
  readonly time: number;
  readonly host: string;
  readonly message: string;
  readonly context: Readonly<Record<string, unknown>>;
}

/** What the logs tell of one request. @internal */
export interface LogExplanation {
  readonly requestId: string;
  /** How it ended, in a sentence. */
  readonly outcome: string;
  /** The request's own lines, in order. */
  readonly decisions: readonly LogLine[];
  /** What its hosts began to believe of the fleet, and of its backend servers, shortly before and meanwhile. */
  readonly beliefs: readonly LogLine[];
}

/** Changes of belief so long before a request, in milliseconds, may have to do with its fate. */
const BEFORE_MS = 5_000;
/** Fields that every line has, or that are shown apart. */
const HIDDEN_FIELDS: ReadonlySet<string> = new Set([
  'application',
  'host',
  'logLevel',
  'requestId',
  'requestIds',
]);

/**
 * Reads a log line; what collects logs may put words before it.
 *
 * @param text - the line
 * @returns the line; undefined when it is none of a host
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
    // Other programs' lines may begin with a brace, too.
    return undefined;
  }
}

const formatValue = (value: unknown) => (typeof value === 'string' ? value : JSON.stringify(value));

const listNames = (value: unknown): readonly string[] =>
  [value].flat().filter((name) => typeof name === 'string');

function isOfRequest({ context }: LogLine, requestId: string): boolean {
  return context.requestId === requestId || listNames(context.requestIds).includes(requestId);
}

function describeOutcome(decisions: readonly LogLine[]): string {
  const end = decisions.findLast(
    ({ message }) => message === 'request ended' || message === 'request refused at the door',
  );
  if (end === undefined) return 'no host logged its end: it was held by a host that was lost';
  const { status, reason, execution, detail, durationMs } = end.context;
  const answered =
    status === undefined ? 'answered without a status' : `answered ${formatValue(status)}`;
  const took = durationMs === undefined ? '' : ` after ${formatValue(durationMs)} ms`;
  const why = reason === undefined ? '' : `: ${formatValue(reason)}, ${formatValue(detail)}`;
  const ran = execution === undefined ? '' : ` (${formatValue(execution)})`;
  return `${end.host} ${answered}${took}${why}${ran}`;
}

/**
 * Explains a request from the logs of all hosts.
 *
 * @param lines - the lines, in any order
 * @param requestId - the request
 * @returns what they tell; undefined when none names the request
 * @internal
 */
export function explainLog(
  lines: readonly LogLine[],
  requestId: string,
): LogExplanation | undefined {
  const sorted = [...lines].sort((first, second) => first.time - second.time);
  const decisions = sorted.filter((line) => isOfRequest(line, requestId));
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
  const beliefs = sorted.filter(({ time, host, context }) => {
    const isNear = time >= first.time - BEFORE_MS && time <= last.time;
    const touchesRequests = context.requestId !== undefined || context.requestIds !== undefined;
    const isOfServer = listNames(context.backendServer).some((server) => servers.has(server));
    const isOfHost = hosts.has(host) && context.backendServer === undefined;
    return isNear && !touchesRequests && (isOfServer || isOfHost);
  });
  return { requestId, outcome: describeOutcome(decisions), decisions, beliefs };
}

function formatLine(line: LogLine, startedAt: number): string {
  const fields = Object.entries(line.context)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  return `${String(line.time - startedAt).padStart(7)} ms  ${line.host}  ${line.message}  ${fields.join(' ')}`;
}

/**
 * Formats an explanation for people; times count from the request's first line.
 *
 * @param explanation - the explanation
 * @returns the text, line by line
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
    'What was decided about it:',
    ...decisions.map((line) => formatLine(line, startedAt)),
    'What its hosts learned shortly before and meanwhile:',
    ...beliefs.map((line) => formatLine(line, startedAt)),
  ];
}
