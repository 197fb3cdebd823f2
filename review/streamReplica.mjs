// A replica that streams events, run as a process of its own: node streamReplica.mjs IP ID. It writes
// its address, and then one line for each stream, as JSON to standard output.
import { createServer } from 'node:net';

import { buildResponse, readRequests } from './http.mjs';

const [ip, serverId] = process.argv.slice(2);
/** One in this number of answers has no length and ends with its connection. */
const UNFRAMED_INTERVAL = Number(process.env.UNFRAMED_INTERVAL);
/** Length of the queue of new connections. */
const BACKLOG = 4;
const EVENT_INTERVAL_MS = 22;

const tell = (what) => process.stdout.write(`${JSON.stringify(what)}\n`);
let answers = 0;

function stream(socket, id, events) {
  answers += 1;
  const isUnframed = answers % UNFRAMED_INTERVAL === 0;
  tell({ kind: 'run', id, isUnframed });
  socket.write(
    `HTTP/1.1 200 OK\r\nEndiveferry-Attempt-Id: ${id}\r\nEndiveferry-Upstream-Signature: sig.${serverId}\r\n` +
      `Content-Type: text/event-stream\r\n${isUnframed ? 'Connection: close' : 'Transfer-Encoding: chunked'}\r\n\r\n`,
  );
  let event = 0;
  const timer = setInterval(() => {
    if (socket.destroyed) {
      clearInterval(timer);
      tell({ kind: 'closed', id, event });
      return;
    }
    event += 1;
    const text = `id: ${event}\ndata: piece ${event} of ${id}\n\n`;
    socket.write(isUnframed ? text : `${text.length.toString(16)}\r\n${text}\r\n`);
    if (event < events) return;
    clearInterval(timer);
    tell({ kind: 'complete', id, event });
    if (isUnframed) socket.end();
    else socket.write('0\r\n\r\n');
  }, EVENT_INTERVAL_MS);
}

const server = createServer((socket) => {
  readRequests(socket, ({ headers, path }) => {
    if (headers['endiveferry-expected-instance'] !== serverId) {
      socket.write(buildResponse(421, { 'Endiveferry-Instance-Id': serverId }));
      return;
    }
    stream(socket, headers['endiveferry-attempt-id'], Number(path.split('/').at(-1)));
  });
});
server.listen({ port: 0, host: ip, backlog: BACKLOG }, () => {
  tell({ kind: 'listening', address: `${ip}:${server.address().port}` });
});
