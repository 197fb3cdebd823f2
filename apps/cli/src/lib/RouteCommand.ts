import { Command, Option } from 'clipanion';

import { exitCodes } from './BaseCommand.js';
import { formatTable } from './formatTable.js';
import { OperatorsCommand, sendHostRequest } from './OperatorsCommand.js';

/** What a relay host tells of a request; see `RouteExplanation` of the relay. */
interface Explanation {
  readonly host: string;
  readonly version: number;
  readonly isAdmitted: boolean;
  readonly rejection?: {
    readonly reason: string;
    readonly detail: string;
    readonly retryAfterMs?: number;
  };
  readonly route?: { readonly name: string; readonly prefix: string; readonly kind: string };
  readonly workspace?: string;
  readonly rank?: number;
  readonly waitMs?: number;
  readonly stages?: readonly {
    readonly pool: string;
    readonly pieces: number;
    readonly dispatchers: readonly string[];
    readonly waitMs: number;
  }[];
  readonly pools?: readonly {
    readonly pool: string;
    readonly weight: number;
    readonly chosen: string | null;
    readonly servers: readonly {
      readonly server: string;
      readonly availabilityZone: string;
      readonly exclusion: string | null;
      readonly running: number;
      readonly maxRunning: number;
      readonly failureShare: number;
      readonly reportedLoad: {
        readonly running: number;
        readonly waiting: number;
        readonly slots: number;
      } | null;
      readonly pendingTokens: number;
      readonly tokenMs: number;
    }[];
  }[];
}

type PoolExplanation = NonNullable<Explanation['pools']>[number];

/** Reasons for which there is nothing to explain: the route or the key is unknown. */
const UNKNOWN_REASONS: ReadonlySet<string> = new Set(['not-found', 'unauthenticated']);

function formatAdmission({ isAdmitted, rejection, waitMs = 0 }: Explanation): string {
  if (isAdmitted) return `admitted, expected wait ${Math.round(waitMs)} ms`;
  const retry =
    rejection?.retryAfterMs === undefined
      ? ''
      : `, retry after ${Math.round(rejection.retryAfterMs)} ms`;
  return `rejected, ${rejection?.reason ?? ''}: ${rejection?.detail ?? ''}${retry}`;
}

function formatStages(stages: Explanation['stages'] = []): string[] {
  if (stages.length === 0) return [];
  const rows = stages.map(({ pool, pieces, dispatchers, waitMs }, index) => [
    String(index),
    pool,
    String(pieces),
    String(Math.round(waitMs)),
    dispatchers.join(', '),
  ]);
  return ['', ...formatTable(['STAGE', 'POOL', 'PIECES', 'WAIT MS', 'DISPATCHERS'], rows)];
}

function formatPool({ pool, weight, chosen, servers }: PoolExplanation): string[] {
  const rows = servers.map((entry) => [
    entry.server,
    entry.availabilityZone,
    entry.exclusion ?? (entry.server === chosen ? 'chosen' : '-'),
    `${entry.running}/${entry.maxRunning}`,
    entry.reportedLoad === null
      ? '-'
      : `${entry.reportedLoad.running},${entry.reportedLoad.waiting},${entry.reportedLoad.slots}`,
    entry.failureShare.toFixed(2),
    String(entry.pendingTokens),
    entry.tokenMs.toFixed(4),
  ]);
  const header = ['SERVER', 'ZONE', 'STATE', 'RUNNING', 'LOAD', 'FAILURES', 'TOKENS', 'TOKEN MS'];
  return [
    '',
    `pool ${pool}, weight ${weight}: ${chosen ?? 'no server can be chosen'}`,
    ...formatTable(header, rows),
  ];
}

function formatExplanation(explanation: Explanation): string[] {
  const { host, version, route, workspace = '-', rank = 0 } = explanation;
  return [
    `${host}, configuration ${version}: ${formatAdmission(explanation)}`,
    ...(route === undefined
      ? []
      : [
          `route ${route.name} (${route.kind}, ${route.prefix}), workspace ${workspace}, rank ${rank}`,
        ]),
    ...formatStages(explanation.stages),
    ...(explanation.pools ?? []).flatMap(formatPool),
  ];
}

/** `route HOST PATH`. @internal */
export class RouteCommand extends OperatorsCommand {
  static override paths = [['route']];
  static override usage = Command.Usage({
    description: 'show where a relay host would send a request now, and why, without sending it',
    examples: [
      [
        'Explain a request at one host',
        '$0 route shop.example /stock/rope --key demo-key --operators 10.0.0.1:9464',
      ],
    ],
  });

  requestHost = Option.String({ name: 'host' });

  target = Option.String({ name: 'path' });

  key = Option.String('--key', { description: 'API key of the caller' });

  headers = Option.Array('--header', {
    description: 'a further header of the request, as NAME: VALUE; may be repeated',
  });

  async execute(): Promise<number> {
    const headers: Record<string, string> = { host: this.requestHost };
    if (this.key !== undefined) headers.authorization = `Bearer ${this.key}`;
    for (const text of this.headers ?? []) {
      const [, name, value] = /^([^:\s]+):\s*(.*)$/.exec(text) ?? [];
      if (name === undefined || value === undefined)
        return this.failUsage(`a header is NAME: VALUE, not ${text}`);
      headers[name] = value;
    }
    const explanations: Explanation[] = [];
    for (const address of this.listAddresses()) {
      const body = { target: this.target, headers };
      const result = await sendHostRequest(address, this.token, 'POST', '/v1/route', body);
      if (result.isErr()) return this.failUsage(result.error);
      const explanation = result.value as Explanation;
      const { rejection } = explanation;
      if (rejection !== undefined && UNKNOWN_REASONS.has(rejection.reason))
        return this.failUsage(`${explanation.host}: ${rejection.detail}`);
      explanations.push(explanation);
    }
    this.print(explanations, explanations.flatMap(formatExplanation));
    return exitCodes.ok;
  }

  private failUsage(reason: string): number {
    this.fail(reason);
    return exitCodes.usage;
  }
}
