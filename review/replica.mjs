// A sound replica of a plain service and of an engine, which works on some requests at once and
// queues the others.
import { createServer } from 'node:net';

import { buildResponse, readRequests } from './http.mjs';

/** Starts a replica; `events` at `eventMs` for streams, `workMs` for other requests. */
export async function startReplica(ip, serverId, { slots, workMs, events, eventMs, onChange }) {
  const waiting = [];
  let working = 0;

  function startNext() {
    while (working < slots && waiting.length > 0) {
      const { socket, id, isStream } = waiting.shift();
      if (socket.destroyed) {
        onChange(id, 'left the queue: its connection is closed');
        continue;
      }
      working += 1;
      onChange(id, 'runs');
      const end = () => {
        working -= 1;
        startNext();
      };
      if (isStream) stream(socket, id, end);
      else answer(socket, id, end);
    }
  }

  const sign = (id) => ({
    'Endiveferry-Attempt-Id': id,
    'Endiveferry-Upstream-Signature': `sig.${serverId}`,
    'Endiveferry-Instance-Load': `${working},${waiting.length},${slots}`,
  });

  function answer(socket, id, end) {
    setTimeout(() => {
      if (!socket.destroyed) socket.write(buildResponse(200, sign(id), 'done'));
      onChange(id, socket.destroyed ? 'broke off: its connection is closed' : 'complete');
      end();
    }, workMs);
  }

  function stream(socket, id, end) {
    const head = Object.entries({ ...sign(id), 'Content-Type': 'text/event-stream' }).map(
      ([name, value]) => `${name}: ${value}\r\n`,
    );
    socket.write(`HTTP/1.1 200 OK\r\n${head.join('')}Transfer-Encoding: chunked\r\n\r\n`);
    let event = 0;
    const timer = setInterval(() => {
      event += 1;
      const text = `id: ${event}\ndata: piece ${event}\n\n`;
      if (!socket.destroyed) socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
      if (event < events && !socket.destroyed) return;
      clearInterval(timer);
      onChange(id, socket.destroyed ? 'broke off: its connection is closed' : 'complete');
      if (!socket.destroyed) socket.write('0\r\n\r\n');
      end();
    }, eventMs);
  }

  const server = createServer((socket) => {
    readRequests(socket, ({ headers, path }) => {
      if (headers['endiveferry-expected-instance'] !== serverId) {
        socket.write(buildResponse(421, { 'Endiveferry-Instance-Id': serverId }));
        return;
      }
      const id = headers['endiveferry-attempt-id'];
      onChange(id, 'arrived');
      waiting.push({ socket, id, isStream: path.startsWith('/plan/') });
      startNext();
    });
  });
  await new Promise((resolve) => server.listen(0, ip, resolve));
  return { address: `${ip}:${server.address().port}` };
}
