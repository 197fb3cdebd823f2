// Reads HTTP/1.1 requests from raw sockets, for stand-ins that write responses byte by byte.
const HEAD_END = '\r\n\r\n';

/** Calls back with each complete request of a socket, whose body has a length or is empty. */
export function readRequests(socket, onRequest) {
  let received = Buffer.alloc(0);
  socket.on('error', () => undefined);
  socket.on('data', (chunk) => {
    received = Buffer.concat([received, chunk]);
    for (;;) {
      const headEnd = received.indexOf(HEAD_END);
      if (headEnd < 0) return;
      const [first, ...lines] = received.subarray(0, headEnd).toString('latin1').split('\r\n');
      const headers = {};
      for (const line of lines) {
        const colon = line.indexOf(':');
        headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
      }
      const end = headEnd + HEAD_END.length + Number(headers['content-length'] ?? 0);
      if (received.length < end) return;
      const body = received.subarray(headEnd + HEAD_END.length, end).toString('utf8');
      received = received.subarray(end);
      const [method, path] = first.split(' ');
      onRequest({ method, path, headers, body });
    }
  });
}

/** Builds a complete response. */
export function buildResponse(status, headers, body = '') {
  const lines = Object.entries({ ...headers, 'Content-Length': Buffer.byteLength(body) }).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `HTTP/1.1 ${status} ${status === 200 ? 'OK' : 'Other'}\r\n${lines.join('')}\r\n${body}`;
}
