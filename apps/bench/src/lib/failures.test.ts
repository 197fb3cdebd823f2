import assert from 'node:assert/strict';
import { test } from 'node:test';

import { poolIdSchema } from '@endiveferry/base';
import { request } from 'undici';

import { callFleet } from './callFleet.js';
import { createFleet, type Fleet } from './createFleet.js';
import type { StandInServer } from './standins/startStandInServer.js';

const SEED = 21;
const folder = new URL('../../../../examples/urdimbre', import.meta.url).pathname;
const token = 'demo-taller-salto';
const booking = { lot: '4417', frame: 'f3' };
const plan = { question: 'How many sections?', texts: ['lot 1'] };

async function waitUntil(isDone: () => boolean): Promise<void> {
  for (let turn = 0; turn < 1_000 && !isDone(); turn += 1) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  assert.ok(isDone(), 'it did not come to pass');
}

async function withFleet(run: (fleet: Fleet, address: string) => Promise<void>): Promise<void> {
  const fleet = await createFleet({ source: folder, seed: SEED, hostCount: 1 });
  try {
    const [daemon] = fleet.daemons.values();
    await run(fleet, daemon?.addresses.callers ?? '');
  } finally {
    await fleet.close();
  }
}

const listPool = (fleet: Fleet, name: string): readonly StandInServer[] =>
  fleet.standIns.listPool(poolIdSchema.parse(name));

const book = (address: string) =>
  callFleet({ address, pipeline: 'frame-booking', token, body: booking });

const countBookings = (fleet: Fleet) =>
  fleet.standIns.executionLog.list().filter(({ path }) => path === '/v1/book').length;

test('a stream cut in the middle goes on at another engine, no token doubled or lost', () =>
  withFleet(async (fleet, address) => {
    const ask = () => callFleet({ address, pipeline: 'beam-plan', token, body: plan });
    const whole = await ask();
    for (const engine of listPool(fleet, 'models')) engine.faults.cutNextStreamAfterTokens = 20;
    const resumed = await ask();
    assert.equal(resumed.status, 200, resumed.detail);
    assert.deepEqual(resumed.output, whole.output);
    const tries = fleet.standIns.executionLog.countCallExecutions(`${resumed.requestId}.generate`);
    assert.ok(tries > 1, 'nothing was cut');
  }));

test('a booking whose connection is cut may have run, and is not sent again', () =>
  withFleet(async (fleet, address) => {
    for (const desk of listPool(fleet, 'frame-desk')) desk.faults.failureShare = 1;
    const reply = await book(address);
    assert.deepEqual([reply.status, reply.execution], [502, 'may-have-run']);
    assert.equal(countBookings(fleet), 1);
  }));

test('a booking at a pool that is down did not run there, and goes to a server that is up', () =>
  withFleet(async (fleet, address) => {
    const [up, ...down] = listPool(fleet, 'frame-desk');
    assert.ok(up !== undefined);
    for (const desk of down) await desk.stop();
    for (let round = 0; round < 4; round += 1) assert.equal((await book(address)).status, 200);
    assert.equal(up.countCalls(), 4);
    assert.equal(countBookings(fleet), 4);
  }));

test('a booking is not lost to a kept connection that went silent', () =>
  withFleet(async (fleet, address) => {
    await book(address);
    for (const desk of listPool(fleet, 'frame-desk')) {
      desk.blackholeConnections(1, { nextFraction: () => 0, nextInteger: () => 0 });
    }
    assert.equal((await book(address)).status, 200);
    assert.equal(countBookings(fleet), 2);
  }));

test('a lookup on a silent connection is answered on another within its deadline', () =>
  withFleet(async (fleet, address) => {
    const look = () => callFleet({ address, pipeline: 'stock-lookup', token, body: { lot: '7' } });
    for (let round = 0; round < 8; round += 1) await look();
    for (const stock of listPool(fleet, 'creel-stock')) {
      stock.blackholeConnections(1, { nextFraction: () => 0, nextInteger: () => 0 });
    }
    const replies = await Promise.all([look(), look()]);
    assert.deepEqual(
      replies.map((reply) => reply.status),
      [200, 200],
    );
  }));

test('a caller that goes away cancels the generation, and a booking goes on', () =>
  withFleet(async (fleet, address) => {
    for (const server of fleet.standIns.servers.values()) server.faults.slowdown = 3;
    const leave = async (pipeline: string, body: unknown, isUnderWay: () => boolean) => {
      const controller = new AbortController();
      const call = callFleet({ address, pipeline, token, body, signal: controller.signal });
      await waitUntil(isUnderWay);
      controller.abort();
      await assert.rejects(call);
    };
    const find = (path: string) =>
      fleet.standIns.executionLog.list().find((execution) => execution.path === path);
    await leave('beam-plan', plan, () => find('/v1/completions') !== undefined);
    await leave('frame-booking', booking, () => find('/v1/book') !== undefined);
    await waitUntil(
      () =>
        find('/v1/completions')?.endedAt !== undefined && find('/v1/book')?.endedAt !== undefined,
    );
    const [daemon] = fleet.daemons.values();
    await waitUntil(() => daemon?.status().activeRequests === 0);
    const metrics = await request(`http://${daemon?.addresses.operators ?? ''}/metrics`);
    const text = await metrics.body.text();
    assert.match(
      text,
      /wasted_seconds_total\{stage="beam-plan\/generate",rank="urgent",cause="cancelled"\}/,
    );
    assert.equal(countBookings(fleet), 1);
  }));

test('a leaving server gets nothing new, by its own word and by the list', () =>
  withFleet(async (fleet, address) => {
    const [first, second, third] = listPool(fleet, 'frame-desk');
    assert.ok(first !== undefined && second !== undefined && third !== undefined);
    first.faults.isLeaving = true;
    fleet.publishHosts({
      hosts: { 'host-1': { state: 'live' } },
      backendServers: { [second.serverId]: { state: 'leaving' } },
    });
    const [daemon] = fleet.daemons.values();
    const countLeaving = () =>
      daemon
        ?.status()
        .pools.flatMap((pool) => pool.backendServers)
        .filter((server) => server.isLeaving).length;
    await waitUntil(() => countLeaving() === 2);
    for (let round = 0; round < 5; round += 1) await book(address);
    assert.deepEqual([first.countCalls(), second.countCalls(), third.countCalls()], [0, 0, 5]);
  }));

test('a stop waits for requests in progress and refuses new ones, not run', () =>
  withFleet(async (fleet, address) => {
    for (const server of fleet.standIns.servers.values()) server.faults.slowdown = 3;
    const [daemon] = fleet.daemons.values();
    assert.ok(daemon !== undefined);
    const running = callFleet({ address, pipeline: 'beam-plan', token, body: plan });
    await waitUntil(() => daemon.status().activeRequests > 0);
    const stopped = daemon.drain();
    await waitUntil(() => daemon.state() === 'refusing');
    const refused = await book(address);
    assert.deepEqual([refused.status, refused.execution], [503, 'not-run']);
    assert.equal((await running).status, 200);
    await stopped;
    assert.equal(countBookings(fleet), 0);
  }));

test('explain tells which server ran each stage', () =>
  withFleet(async (fleet, address) => {
    const reply = await book(address);
    const [daemon] = fleet.daemons.values();
    const answer = await request(
      `http://${daemon?.addresses.operators ?? ''}/v1/requests/${reply.requestId}`,
    );
    const trace = (await answer.body.json()) as { events: { event: string; detail: object }[] };
    const names = trace.events.map(({ event }) => event);
    assert.deepEqual(names.slice(0, 2), ['arrived', 'door']);
    assert.equal(names.filter((name) => name === 'attempt-ended').length, 3);
    assert.equal(names.at(-1), 'answered');
  }));
