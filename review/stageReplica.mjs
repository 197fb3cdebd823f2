// A sound replica of a stage.
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:net';

import { buildResponse, readRequests } from './http.mjs';

const CALL_MS = 240;
const PIECE_MS = 20.4;

/** Starts a replica; resolves to its address. */
export async function startStageReplica(ip, serverId) {
  let address = '';
  const server = createServer((socket) => {
    readRequests(socket, ({ path, headers, body }) => {
      if (headers['endiveferry-expected-instance'] !== serverId) {
        socket.write(buildResponse(421, { 'Endiveferry-Instance-Id': serverId }));
        return;
      }
      if (path !== '/endiveferry/stage-run') {
        socket.write(buildResponse(200, {}));
        return;
      }
      const items = JSON.parse(body).items.map(() => ({
        handle: `${address}/${randomBytes(6).toString('hex')}`,
      }));
      setTimeout(
        () => {
          if (socket.destroyed) return;
          const load = { 'Endiveferry-Instance-Load': '1,0,1', 'Content-Type': 'application/json' };
          socket.write(buildResponse(200, load, JSON.stringify({ items })));
        },
        CALL_MS + items.length * PIECE_MS,
      );
    });
  });
  await new Promise((resolve) => server.listen(0, ip, resolve));
  address = `${ip}:${server.address().port}`;
  return address;
}
