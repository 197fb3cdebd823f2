import assert from 'node:assert/strict';
import { test } from 'node:test';

import { poolIdSchema } from '@endiveferry/base';
import { request } from 'undici';

import { callFleet } from './callFleet.js';
import { createFleet, type Fleet } from './createFleet.js';
import type { StandInServer } from './standins/startStandInServer.js';

const SEED = 21;
const exampleFolder = new URL('../../../../examples/urdimbre', import.meta.url).pathname;
const token = 'demo-taller-salto';
const booking = { lot: '4417', frame: 'f3' };
const plan = { question: 'How many sections?', texts: ['lot 1'] };

async function waitUntil(isMet: () => boolean): Promise<void> {
  for (let poll = 0; poll < 1_000 && !isMet(); poll += 1) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  assert.ok(isMet(), 'the condition was not met in time');
}

async function withFleet(run: (fleet: Fleet, address: string) => Promise<void>): Promise<void> {
  const fleet = await createFleet({ source: exampleFolder, seed: SEED, hostCount: 1 });
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

test('an interrupted stream resumes at another engine without duplicate or missing tokens', () =>
  withFleet(async (fleet, address) => {
    const submitPlan = () => callFleet({ address, pipeline: 'beam-plan', token, body: plan });
    const complete = await submitPlan();
    for (const engine of listPool(fleet, 'models'))
      engine.faults.disconnectNextStreamAfterTokens = 20;
    const resumed = await submitPlan();
    assert.equal(resumed.status, 200, resumed.detail);
    assert.deepEqual(resumed.output, complete.output);
    const attempts = fleet.standIns.executionLog.countCallExecutions(
      `${resumed.requestId}.generate`,
    );
    assert.ok(attempts > 1, 'no stream was interrupted');
  }));

test('a booking that fails at the server is reported as may-have-run and not retried', () =>
  withFleet(async (fleet, address) => {
    for (const desk of listPool(fleet, 'frame-desk')) desk.faults.failureShare = 1;
    const reply = await book(address);
    assert.deepEqual([reply.status, reply.execution], [502, 'may-have-run']);
    assert.equal(countBookings(fleet), 1);
  }));

test('bookings run once, on the server that is up, when the others refuse connections', () =>
  withFleet(async (fleet, address) => {
    const [up, ...down] = listPool(fleet, 'frame-desk');
    assert.ok(up !== undefined);
    for (const desk of down) await desk.stop();
    for (let round = 0; round < 4; round += 1) assert.equal((await book(address)).status, 200);
    assert.equal(up.countCalls(), 4);
    assert.equal(countBookings(fleet), 4);
  }));

test('a booking succeeds although an idle kept-alive connection stopped responding', () =>
  withFleet(async (fleet, address) => {
    await book(address);
    for (const desk of listPool(fleet, 'frame-desk')) {
      desk.blackholeConnections(1, { nextFraction: () => 0, nextInteger: () => 0 });
    }
    assert.equal((await book(address)).status, 200);
    assert.equal(countBookings(fleet), 2);
  }));

test('a lookup on an unresponsive connection succeeds on another within its deadline', () =>
  withFleet(async (fleet, address) => {
    const lookUp = () =>
      callFleet({ address, pipeline: 'stock-lookup', token, body: { lot: '7' } });
    for (let round = 0; round < 8; round += 1) await lookUp();
    for (const stock of listPool(fleet, 'creel-stock')) {
      stock.blackholeConnections(1, { nextFraction: () => 0, nextInteger: () => 0 });
    }
    const replies = await Promise.all([lookUp(), lookUp()]);
    assert.deepEqual(
      replies.map((reply) => reply.status),
      [200, 200],
    );
  }));

test('a caller that disconnects cancels generation but not a booking', () =>
  withFleet(async (fleet, address) => {
    for (const server of fleet.standIns.servers.values()) server.faults.slowdown = 3;
    const disconnectDuring = async (pipeline: string, body: unknown, isRunning: () => boolean) => {
      const controller = new AbortController();
      const call = callFleet({ address, pipeline, token, body, signal: controller.signal });
      await waitUntil(isRunning);
      controller.abort();
      await assert.rejects(call);
    };
    const findExecution = (path: string) =>
      fleet.standIns.executionLog.list().find((execution) => execution.path === path);
    await disconnectDuring('beam-plan', plan, () => findExecution('/v1/completions') !== undefined);
    await disconnectDuring('frame-booking', booking, () => findExecution('/v1/book') !== undefined);
    await waitUntil(
      () =>
        findExecution('/v1/completions')?.endedAt !== undefined &&
        findExecution('/v1/book')?.endedAt !== undefined,
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

test('a server that reports itself or is listed as leaving receives no new calls', () =>
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

test('draining waits for requests in progress and rejects new ones as not-run', () =>
  withFleet(async (fleet, address) => {
    for (const server of fleet.standIns.servers.values()) server.faults.slowdown = 3;
    const [daemon] = fleet.daemons.values();
    assert.ok(daemon !== undefined);
    const running = callFleet({ address, pipeline: 'beam-plan', token, body: plan });
    await waitUntil(() => daemon.status().activeRequests > 0);
    const stopped = daemon.drain();
    await waitUntil(() => daemon.state() === 'refusing');
    const rejected = await book(address);
    assert.deepEqual([rejected.status, rejected.execution], [503, 'not-run']);
    assert.equal((await running).status, 200);
    await stopped;
    assert.equal(countBookings(fleet), 0);
  }));

test('the trace of a request records each attempt of its stages', () =>
  withFleet(async (fleet, address) => {
    const reply = await book(address);
    const [daemon] = fleet.daemons.values();
    const response = await request(
      `http://${daemon?.addresses.operators ?? ''}/v1/requests/${reply.requestId}`,
    );
    const trace = (await response.body.json()) as { events: { event: string; detail: object }[] };
    const names = trace.events.map(({ event }) => event);
    assert.deepEqual(names.slice(0, 2), ['arrived', 'door']);
    assert.equal(names.filter((name) => name === 'attempt-ended').length, 3);
    assert.equal(names.at(-1), 'answered');
  }));
