import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';
import { test } from 'node:test';

import { createFakeClock } from '@endiveferry/base';

import { createReadPacer } from './createReadPacer.js';

/** Number of chunks of one byte in one read of a connection. */
const READ_CHUNKS = 10_922;
/** Time that the chunks of one turn take, in milliseconds. */
const BUSY_MS = 40;

function createHarness() {
  const clock = createFakeClock();
  let turns: (() => void)[] = [];
  const pacer = createReadPacer(clock, (callback) => turns.push(callback));
  const connect = (name: string) => {
    const socket = Object.assign(new EventEmitter(), {
      name,
      isPaused: false,
      destroyed: false,
      pause: () => (socket.isPaused = true),
      close() {
        socket.destroyed = true;
        socket.emit('close');
      },
    });
    // A property of the socket shadows this function until the connection is read again.
    const prototype: object = Object.assign(new EventEmitter(), {
      resume: () => (socket.isPaused = false),
    });
    Object.setPrototypeOf(socket, prototype);
    pacer.add(socket as unknown as Socket);
    const send = (chunks: number) => {
      for (let count = 0; count < chunks; count += 1) pacer.count(socket as unknown as Socket);
    };
    return { socket, send };
  };
  /** Runs the next turn of the event loop, whose chunks took some time. */
  const runTurn = async (busyMs = BUSY_MS) => {
    await new Promise((resolve) => process.nextTick(resolve));
    clock.jump(busyMs);
    const callbacks = turns;
    turns = [];
    for (const callback of callbacks) callback();
    await new Promise((resolve) => process.nextTick(resolve));
  };
  return { clock, connect, runTurn };
}

test('a connection with few chunks per turn is not stopped', async () => {
  const { connect, runTurn } = createHarness();
  const { socket, send } = connect('a');
  for (let turn = 0; turn < 5; turn += 1) {
    send(100);
    await runTurn();
    assert.equal(socket.isPaused, false);
  }
});

test('a connection with many chunks is stopped until the next turn', async () => {
  const { connect, runTurn } = createHarness();
  const [tiny, other] = [connect('tiny'), connect('other')];
  tiny.send(READ_CHUNKS);
  await new Promise((resolve) => process.nextTick(resolve));
  assert.deepEqual([tiny.socket.isPaused, other.socket.isPaused], [true, false]);
  await runTurn();
  await runTurn();
  assert.equal(tiny.socket.isPaused, false);
});

test('connections with many chunks leave as much time for other work as they took', async () => {
  const { clock, connect, runTurn } = createHarness();
  const crowd = [connect('a'), connect('b')];
  for (const { send } of crowd) send(READ_CHUNKS);
  await runTurn();
  const countPaused = () => crowd.filter(({ socket }) => socket.isPaused).length;
  await clock.advance(BUSY_MS - 1);
  assert.equal(countPaused(), 2);
  await clock.advance(1);
  await runTurn();
  assert.equal(countPaused(), 1);
});

// A crowd that is read in one turn would stop the process for seconds.
test('all connections wait after a number of chunks, and a new one is read first', async () => {
  const { clock, connect, runTurn } = createHarness();
  const crowd = Array.from({ length: 20 }, (_, index) => connect(`crowd-${index}`));
  for (const { send } of crowd.slice(0, 4)) send(READ_CHUNKS);
  await runTurn();
  const late = connect('late');
  await runTurn();
  assert.ok([...crowd, late].every(({ socket }) => socket.isPaused));
  await clock.advance(2 * BUSY_MS);
  await runTurn();
  const read = [...crowd, late].flatMap(({ socket }) => (socket.isPaused ? [] : [socket.name]));
  assert.deepEqual(read, ['crowd-0', 'crowd-4', 'crowd-19', 'late']);
});

test('a connection that closes while it waits is forgotten', async () => {
  const { connect, runTurn } = createHarness();
  const { socket, send } = connect('a');
  send(READ_CHUNKS);
  socket.close();
  await runTurn();
  await runTurn();
  assert.equal(socket.isPaused, true);
});
