import { parseArgs } from 'node:util';

import { describeError } from '@endiveferry/base';
import { startExample, type PlatformExample } from '@endiveferry/platform';
import { setLogWriter } from '@endiveferry/telemetry';

import { createFleet } from './createFleet.js';

const SEED = 1;
const EXIT_USAGE = 2;

/** Request that the usage text shows for each example. */
const examples = {
  urdimbre: {
    token: 'demo-taller-salto',
    pipeline: 'beam-plan',
    body: { question: 'How many sections for lot 4417?', texts: ['lot 4417, 32/2 cotton'] },
  },
  kakadu: {
    token: 'demo-owners',
    pipeline: 'owner-chat',
    body: { question: 'Why does Pip shred rope?', texts: ['Pip, galah, shreds rope'] },
  },
} as const;

type ExampleName = keyof typeof examples;

function isExampleName(name: string): name is ExampleName {
  return Object.hasOwn(examples, name);
}

function buildUsage(name: ExampleName, callers: string, operators: string): string {
  const { token, pipeline, body } = examples[name];
  const json = JSON.stringify(body);
  const url = `http://${callers}/v1/pipelines/${pipeline}/requests`;
  return `endiveferry is running the ${name} example with stand-in backend servers.
  callers    http://${callers}
  operators  http://${operators}

Send a request:
  curl -s ${url} -H 'Authorization: Bearer ${token}' -H 'Content-Type: application/json' -d '${json}'

Stream a response:
  npx endiveferry submit ${pipeline} --address ${callers} --token ${token} --stream '${json}'

Press Ctrl-C to stop.
`;
}

function buildPlatformUsage({ callersAddress, metricsAddress, calls }: PlatformExample): string {
  const lines = calls.map(({ method, path, headers }) => {
    const options = Object.entries(headers).map(([name, value]) => `-H '${name}: ${value}'`);
    return `  curl -sN -X ${method} http://${callersAddress}${path} ${options.join(' ')}`;
  });
  return `endiveferry is running with stand-ins for the users' platform.
  callers  http://${callersAddress}
  metrics  http://${metricsAddress}/metrics

Send a request to a plain service, and stream a response of several stages:
${lines.join('\n')}

Press Ctrl-C to stop.
`;
}

/** Runs one host with stand-ins for the users' platform until SIGINT or SIGTERM. */
async function runPlatformExample(port: number): Promise<void> {
  const example = await startExample(port);
  process.stdout.write(buildPlatformUsage(example));
  const stop = () => void example.stop().then(() => process.exit(0));
  process.once('SIGINT', stop);
  process.once('SIGTERM', stop);
}

/**
 * Runs one daemon with an example configuration, or one host of the users' platform, with stand-ins
 * until SIGINT or SIGTERM.
 *
 * @param args - the command-line arguments
 * @public
 */
export async function runStart(args: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...args],
    options: {
      example: { type: 'string', default: 'urdimbre' },
      platform: { type: 'boolean', default: false },
      port: { type: 'string', default: '8080' },
      'operators-port': { type: 'string', default: '8081' },
    },
  });
  const name = values.example;
  if (!isExampleName(name)) {
    process.stderr.write(`--example must be one of ${Object.keys(examples).join(', ')}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  setLogWriter((line) => process.stderr.write(`${line}\n`));
  try {
    if (values.platform) {
      await runPlatformExample(Number(values.port));
      return;
    }
    const fleet = await createFleet({
      source: new URL(`../../../../examples/${name}`, import.meta.url).pathname,
      seed: SEED,
      hostCount: 1,
      callersAddress: `127.0.0.1:${values.port}`,
      operatorsAddress: `127.0.0.1:${values['operators-port']}`,
      logLevel: 'warn',
    });
    const [daemon] = fleet.daemons.values();
    if (daemon === undefined) throw new Error('the example configuration has no hosts');
    process.stdout.write(buildUsage(name, daemon.addresses.callers, daemon.addresses.operators));
    const stop = () => void daemon.drain().then(() => process.exit(0));
    process.once('SIGINT', stop);
    process.once('SIGTERM', stop);
  } catch (error) {
    process.stderr.write(`cannot start: ${describeError(error)}\n`);
    process.exit(1);
  }
}
