import { describeError } from '@endiveferry/base';
import { Command, Option } from 'clipanion';
import { createParser } from 'eventsource-parser';
import { request, type Dispatcher } from 'undici';

import { BaseCommand, exitCodes } from './BaseCommand.js';

const DEFAULT_CALLERS_ADDRESS = '127.0.0.1:8080';

interface Problem {
  readonly title: string;
  readonly detail: string;
  readonly execution: string;
  readonly requestId: string;
}

function formatProblem(problem: Problem): string {
  const { title, detail, execution, requestId } = problem;
  return `${title}: ${detail} (execution: ${execution}, request ${requestId})`;
}

/** `submit PIPELINE BODY`. @internal */
export class SubmitCommand extends BaseCommand {
  static override paths = [['submit']];
  static override usage = Command.Usage({
    description: 'send a request to a pipeline and print the response',
    examples: [
      [
        'Stream a response',
        `$0 submit mill-question --token demo-taller-salto --stream '{"question":"How many ends?","texts":["lot 7"]}'`,
      ],
    ],
  });

  pipeline = Option.String();
  body = Option.String();

  address = Option.String('--address', DEFAULT_CALLERS_ADDRESS, {
    description: 'ip:port of the callers listener',
  });

  token = Option.String('--token', {
    description: 'bearer token of the workspace',
    env: 'ENDIVEFERRY_TOKEN',
  });

  rank = Option.String('--rank', { description: 'rank; defaults to that of the pipeline' });
  key = Option.String('--key', { description: 'idempotency key' });
  deadlineMs = Option.String('--deadline-ms', { description: 'deadline in milliseconds' });
  stream = Option.Boolean('--stream', false, { description: 'print tokens as they arrive' });

  private buildHeaders(): Record<string, string> {
    const headers: Record<string, string> = {
      'content-type': 'application/json',
      authorization: `Bearer ${this.token ?? ''}`,
    };
    if (this.stream) headers.accept = 'text/event-stream';
    if (this.rank !== undefined) headers['endiveferry-rank'] = this.rank;
    if (this.key !== undefined) headers['idempotency-key'] = this.key;
    if (this.deadlineMs !== undefined) headers['endiveferry-deadline-ms'] = this.deadlineMs;
    return headers;
  }

  private async printStream(response: Dispatcher.ResponseData): Promise<number> {
    let exitCode: number = exitCodes.failed;
    const handlers: Partial<Record<string, (data: unknown) => void>> = {
      token: (data) => this.context.stdout.write((data as { text: string }).text),
      answer: (data) => {
        exitCode = exitCodes.ok;
        this.context.stdout.write(this.json ? `\n${JSON.stringify(data)}\n` : '\n');
      },
      problem: (data) => {
        this.fail(formatProblem(data as Problem), data);
      },
    };
    const parser = createParser({
      onEvent: ({ event, data }) => handlers[event ?? '']?.(JSON.parse(data)),
    });
    const decoder = new TextDecoder();
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      parser.feed(decoder.decode(chunk, { stream: true }));
    }
    return exitCode;
  }

  async execute(): Promise<number> {
    try {
      const response = await request(
        `http://${this.address}/v1/pipelines/${this.pipeline}/requests`,
        { method: 'POST', headers: this.buildHeaders(), body: this.body },
      );
      if (response.statusCode !== 200) {
        const problem = (await response.body.json()) as Problem;
        return this.fail(formatProblem(problem), problem);
      }
      if (this.stream) return await this.printStream(response);
      const body = (await response.body.json()) as { output: unknown };
      this.print(body, [JSON.stringify(body.output, null, 2)]);
      return exitCodes.ok;
    } catch (error) {
      return this.fail(`request to ${this.address} failed: ${describeError(error)}`);
    }
  }
}
