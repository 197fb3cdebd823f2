import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

/** What calls need of the socket to a server; it may lead through another host. @public */
export type ServerSocket = Duplex & Pick<Socket, 'bytesRead' | 'remoteAddress'>;
