// A small stand-in for the platform's metadata store: items, ranges and watches.
import { createServer } from 'node:http';

const HISTORY_LENGTH = 10_000;

/** Starts an empty store on a loopback address. */
export async function startStore(ip) {
  const items = new Map();
  const events = [];
  const watches = new Set();
  let revision = 10;

  const send = (response, status, body) => {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  };

  const handlers = {
    '/endiveferry/kv-key'(query, response) {
      const item = items.get(query.get('key'));
      if (item === undefined) send(response, 404, { at: revision });
      else send(response, 200, { ...item, at: revision });
    },
    '/endiveferry/kv-range'(query, response) {
      const prefix = query.get('prefix') ?? '';
      const after = query.get('after') ?? '';
      const found = [...items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      send(response, 200, {
        items: found.slice(0, 500),
        has_more: found.length > 500,
        at: revision,
      });
    },
    '/endiveferry/kv-watch'(query, response) {
      const prefix = query.get('prefix') ?? '';
      const after = Number(query.get('after') ?? 0);
      const respond = (isTimedOut) => {
        const changes = events.filter(
          (event) => event.key.startsWith(prefix) && event.revision > after,
        );
        if (changes.length === 0 && !isTimedOut) return;
        finish();
        send(response, 200, { events: changes, at: revision });
      };
      const notify = () => respond(false);
      const timer = setTimeout(() => respond(true), Number(query.get('wait_ms') ?? 0));
      const finish = () => {
        clearTimeout(timer);
        watches.delete(notify);
      };
      response.once('close', finish);
      watches.add(notify);
      notify();
    },
  };

  const server = createServer((request, response) => {
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    const handle = handlers[pathname];
    if (handle === undefined) send(response, 404, {});
    else handle(searchParams, response);
  });
  await new Promise((resolve) => server.listen(0, ip, resolve));

  const publish = (event) => {
    events.push(event);
    if (events.length > HISTORY_LENGTH) events.shift();
    for (const notify of [...watches]) notify();
  };
  return {
    address: `${ip}:${server.address().port}`,
    put(key, value) {
      revision += 1;
      const created = items.get(key)?.created ?? revision;
      const text = typeof value === 'string' ? value : JSON.stringify(value);
      const item = {
        key,
        value: Buffer.from(text).toString('base64'),
        revision,
        created,
        lease: 0,
      };
      items.set(key, item);
      publish(item);
    },
    remove(key) {
      if (!items.delete(key)) return;
      revision += 1;
      publish({ key, revision, deleted: true });
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
