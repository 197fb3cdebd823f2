import assert from 'node:assert/strict';
import { test } from 'node:test';

import { callFleet, fetchIdempotencyKey, type FleetReply } from './callFleet.js';
import { createFleet, type Fleet } from './createFleet.js';

const SEED = 7;
const getExamplePath = (name: string) =>
  new URL(`../../../../examples/${name}`, import.meta.url).pathname;

async function withFleet(
  name: string,
  hostCount: number,
  run: (fleet: Fleet, addresses: string[]) => Promise<void>,
): Promise<void> {
  const fleet = await createFleet({ source: getExamplePath(name), seed: SEED, hostCount });
  try {
    await run(
      fleet,
      [...fleet.daemons.values()].map((daemon) => daemon.addresses.callers),
    );
  } finally {
    await fleet.close();
  }
}

const booking = { lot: '4417', frame: 'f3' };

test('a beam plan request to either host runs encode, retrieve, rerank and generate once', () =>
  withFleet('urdimbre', 2, async (fleet, addresses) => {
    const replies = await Promise.all(
      addresses.map((address) =>
        callFleet({
          address,
          pipeline: 'beam-plan',
          token: 'demo-taller-salto',
          body: { question: 'How many sections?', texts: ['lot 1'] },
        }),
      ),
    );
    for (const reply of replies) {
      assert.equal(reply.status, 200, reply.detail);
      const { text } = reply.output as { text: string };
      assert.equal(text.split(' ').length, 48);
      for (const stage of ['encode', 'retrieve', 'rerank', 'generate']) {
        assert.equal(
          fleet.standIns.executionLog.countCallExecutions(`${reply.requestId}.${stage}`),
          1,
        );
      }
    }
  }));

test('three concurrent requests get three different outputs and run each stage once', () =>
  withFleet('kakadu', 1, async (fleet, [address = '']) => {
    const submit = (question: string) =>
      callFleet({
        address,
        pipeline: 'tag-return',
        token: 'demo-returns-desk',
        body: { question, texts: [question] },
      });
    const replies = await Promise.all(['rope', 'bell', 'wood'].map(submit));
    const texts = replies.map((reply) => (reply.output as { text: string }).text);
    assert.equal(new Set(texts).size, 3);
    assert.equal(fleet.standIns.executionLog.list().length, 9);
  }));

test('concurrent requests with one key at two hosts book once and get the same output', () =>
  withFleet('urdimbre', 2, async (fleet, [first = '', second = '']) => {
    const token = 'demo-taller-salto';
    const key = await fetchIdempotencyKey(first, token);
    const call = { pipeline: 'frame-booking', token, key, body: booking };
    const replies = await Promise.all(
      [first, second, first, second].map((address) => callFleet({ ...call, address })),
    );
    assert.deepEqual(
      replies.map((reply) => reply.status),
      [200, 200, 200, 200],
    );
    const outputs = new Set(replies.map((reply) => JSON.stringify(reply.output)));
    assert.equal(outputs.size, 1);
    const bookings = fleet.standIns.executionLog.list().filter(({ path }) => path === '/v1/book');
    assert.equal(bookings.length, 1);
  }));

test('rejected requests report not-run and execute no call', () =>
  withFleet('urdimbre', 1, async (fleet, [address = '']) => {
    const token = 'demo-taller-salto';
    const base = { address, pipeline: 'frame-booking', token, body: booking };
    const invalidRequests: [
      Partial<typeof base> & { rank?: string; key?: string },
      number,
      string,
    ][] = [
      [{ token: 'wrong' }, 401, 'unauthenticated'],
      [{ pipeline: 'nothing' }, 404, 'not-found'],
      [{ rank: 'batch' }, 403, 'forbidden'],
      [{ rank: 'no-such-rank' }, 400, 'bad-request'],
      [{ key: 'not-a-uuid' }, 400, 'bad-request'],
    ];
    for (const [override, status, title] of invalidRequests) {
      const reply: FleetReply = await callFleet({ ...base, ...override });
      assert.deepEqual([reply.status, reply.title, reply.execution], [status, title, 'not-run']);
    }
    assert.equal(fleet.standIns.executionLog.list().length, 0);
  }));
