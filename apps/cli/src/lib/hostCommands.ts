import { readFileSync } from 'node:fs';

import { describeError } from '@endiveferry/base';
import { Command, Option } from 'clipanion';
import { isNumber } from 'typanion';

import { exitCodes } from './BaseCommand.js';
import { explainLog, formatLogExplanation, parseLogLine, type LogLine } from './explainLog.js';
import { formatTable } from './formatTable.js';
import { sendHostRequest, OperatorsCommand } from './OperatorsCommand.js';

/** The fields of a host's status that the commands use. */
interface HostStatus {
  readonly hostId: string;
  readonly processId: string;
  readonly state: string;
  readonly activeRequests: number;
  readonly configurationRevision?: number;
  readonly hostListRevision: number;
  readonly rejected?: { readonly revision: number; readonly faults: readonly string[] };
  readonly hosts: readonly string[];
  readonly peers: readonly { readonly hostId: string; readonly link: string }[];
  readonly pools: readonly {
    readonly poolId: string;
    readonly running: number;
    readonly waiting: number;
    readonly budget: number;
    readonly backendServers: readonly {
      readonly serverId: string;
      readonly health: string;
      readonly isLeaving: boolean;
    }[];
  }[];
}

function formatHostRow(status: HostStatus): string[] {
  const upCount = status.peers.filter((peer) => peer.link === 'up').length;
  return [
    status.hostId,
    status.state,
    String(status.activeRequests),
    String(status.configurationRevision ?? '-'),
    String(status.hostListRevision),
    `${upCount}/${status.peers.length}`,
  ];
}

function formatPoolRows(status: HostStatus): string[][] {
  return status.pools.map((pool) => {
    const unavailable = pool.backendServers.filter((s) => s.health !== 'healthy' || s.isLeaving);
    return [
      status.hostId,
      pool.poolId,
      String(pool.running),
      String(pool.waiting),
      String(pool.budget),
      `${pool.backendServers.length - unavailable.length}/${pool.backendServers.length}`,
      unavailable.map((s) => `${s.serverId} ${s.isLeaving ? 'leaving' : s.health}`).join(', '),
    ];
  });
}

/** Lists the fields whose values differ between hosts, and the rejected revisions. */
function listDisagreements(statuses: readonly HostStatus[]): string[] {
  const comparedFields: [string, (status: HostStatus) => string][] = [
    ['configuration revision', (status) => String(status.configurationRevision ?? '-')],
    ['host list revision', (status) => String(status.hostListRevision)],
    ['hosts', (status) => [...status.hosts].sort().join(' ')],
  ];
  const lines = comparedFields.flatMap(([label, getValue]) => {
    const values = new Set(statuses.map(getValue));
    if (values.size < 2) return [];
    return [`${label}: ${statuses.map((s) => `${s.hostId} has ${getValue(s)}`).join('; ')}`];
  });
  const rejected = statuses.flatMap(({ hostId, rejected: rejectedRevision }) =>
    rejectedRevision === undefined
      ? []
      : [
          `${hostId} rejects revision ${rejectedRevision.revision}: ${rejectedRevision.faults.join('; ')}`,
        ],
  );
  return [...lines, ...rejected];
}

/** `status`. @internal */
export class StatusCommand extends OperatorsCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    description: 'show the state of hosts, their pools and links, and where their state differs',
    examples: [['Two hosts', '$0 status --operators 127.0.0.1:8081 --operators 127.0.0.1:8091']],
  });

  /** Fetches and prints the status of all hosts; returns false when a host is unreachable. */
  protected async printStatus(): Promise<boolean> {
    const results = await this.fetchFromHosts('/v1/status');
    const statuses = results.flatMap(({ result }) =>
      result.isOk() ? [result.value as HostStatus] : [],
    );
    const unreachable = results.flatMap(({ result }) => (result.isErr() ? [result.error] : []));
    const disagreements = listDisagreements(statuses);
    this.print({ statuses, unreachable, disagreements }, [
      ...formatTable(
        ['HOST', 'STATE', 'ACTIVE', 'CONFIGURATION', 'HOST LIST', 'LINKS'],
        statuses.map(formatHostRow),
      ),
      '',
      ...formatTable(
        ['HOST', 'POOL', 'RUNNING', 'WAITING', 'BUDGET', 'SERVERS', ''],
        statuses.flatMap(formatPoolRows),
      ),
      ...disagreements.map((line) => `disagreement: ${line}`),
      ...unreachable.map((line) => `unreachable: ${line}`),
    ]);
    return unreachable.length === 0;
  }

  async execute(): Promise<number> {
    return (await this.printStatus()) ? exitCodes.ok : exitCodes.failed;
  }
}

const CLEAR_SCREEN = '\u001b[2J\u001b[H';

/** `top`. @internal */
export class TopCommand extends StatusCommand {
  static override paths = [['top']];
  static override usage = Command.Usage({
    description: 'show the status of hosts and refresh it periodically',
    examples: [['Every two seconds, ten times', '$0 top --interval-ms 2000 --count 10']],
  });

  intervalMs = Option.String('--interval-ms', '1000', {
    description: 'refresh interval, in milliseconds',
    validator: isNumber(),
  });

  count = Option.String('--count', String(Number.MAX_SAFE_INTEGER), {
    description: 'number of refreshes; by default, runs until interrupted',
    validator: isNumber(),
  });

  override async execute(): Promise<number> {
    for (let round = 0; round < this.count; round += 1) {
      if (round > 0) await new Promise((resolve) => setTimeout(resolve, this.intervalMs));
      if (!this.json) this.context.stdout.write(CLEAR_SCREEN);
      await this.printStatus();
    }
    return exitCodes.ok;
  }
}

interface Trace {
  readonly requestId: string;
  readonly arrivedAt: string;
  readonly events: readonly {
    readonly atMs: number;
    readonly event: string;
    readonly detail: Readonly<Record<string, unknown>>;
  }[];
}

function formatTrace(address: string, trace: Trace): string[] {
  const rows = trace.events.map(({ atMs, event, detail }) => [
    atMs.toFixed(1),
    event,
    Object.entries(detail)
      .map(([name, value]) => {
        const text =
          typeof value === 'number' ? String(Math.round(value * 10) / 10) : String(value);
        return `${name}=${text}`;
      })
      .join(' '),
  ]);
  return [
    `${trace.requestId} at ${address}, arrived ${trace.arrivedAt}`,
    ...formatTable(['MS', 'EVENT', 'DETAIL'], rows),
  ];
}

/** `explain REQUEST_ID`. @internal */
export class ExplainCommand extends OperatorsCommand {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'show the decisions about a request: where, when and why they were made',
    examples: [
      ['Explain a request', '$0 explain host-1.0a1b2c3d4e5f.7'],
      ['Explain a request from logs', '$0 explain 9c41d07be2a35f68 --log hosts.log'],
    ],
  });

  requestId = Option.String();

  logs = Option.Array('--log', {
    description: 'file with log lines of hosts, used instead of querying them; may be repeated',
  });

  async execute(): Promise<number> {
    return this.logs === undefined ? this.explainFromHosts() : this.explainFromLogs(this.logs);
  }

  private explainFromLogs(files: readonly string[]): number {
    const lines: LogLine[] = [];
    for (const file of files) {
      try {
        for (const text of readFileSync(file, 'utf8').split('\n')) {
          const line = parseLogLine(text);
          if (line !== undefined) lines.push(line);
        }
      } catch (error) {
        return this.fail(`${file} cannot be read: ${describeError(error)}`);
      }
    }
    const explanation = explainLog(lines, this.requestId);
    if (explanation === undefined) {
      return this.fail(`none of the ${lines.length} log lines refers to ${this.requestId}`);
    }
    this.print(explanation, formatLogExplanation(explanation));
    return exitCodes.ok;
  }

  private async explainFromHosts(): Promise<number> {
    const results = await this.fetchFromHosts(`/v1/requests/${encodeURIComponent(this.requestId)}`);
    const traces = results.flatMap(({ address, result }) =>
      result.isOk() ? [{ address, trace: result.value as Trace }] : [],
    );
    if (traces.length === 0) {
      const reasons = results.flatMap(({ result }) => (result.isErr() ? [result.error] : []));
      return this.fail(reasons.join('\n'));
    }
    this.print(
      traces,
      traces.flatMap(({ address, trace }) => formatTrace(address, trace)),
    );
    return exitCodes.ok;
  }
}

/** `drain HOST`. @internal */
export class DrainCommand extends OperatorsCommand {
  static override paths = [['drain']];
  static override usage = Command.Usage({
    description: 'stop a host gracefully, after its requests in progress have finished',
    examples: [['Stop host-2', '$0 drain host-2 --operators 127.0.0.1:8091']],
  });

  hostId = Option.String();

  async execute(): Promise<number> {
    const results = await this.fetchFromHosts('/v1/status');
    const target = results.find(
      ({ result }) => result.isOk() && (result.value as HostStatus).hostId === this.hostId,
    );
    if (target === undefined) {
      return this.fail(`none of the hosts at ${this.listAddresses().join(', ')} is ${this.hostId}`);
    }
    const drained = await sendHostRequest(target.address, this.token, 'POST', '/v1/drain');
    if (drained.isErr()) return this.fail(drained.error);
    this.print({ hostId: this.hostId, isDraining: true }, [`${this.hostId} is draining`]);
    return exitCodes.ok;
  }
}
