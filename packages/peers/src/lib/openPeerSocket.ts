import { connect, type Socket } from 'node:net';
import { connect as connectTls, type PeerCertificate } from 'node:tls';

import type { HostId } from '@endiveferry/base';
import { parseAddress } from '@endiveferry/settings';

/**
 * The keys of mutual TLS, read from files.
 *
 * @public
 */
export interface TlsKeys {
  readonly certificate: string;
  readonly key: string;
  readonly authority: string | undefined;
}

/**
 * How a socket to another host is opened.
 *
 * @internal
 */
export interface PeerSocketOptions {
  /** Keys of mutual TLS; a plain socket when undefined. */
  readonly keys: TlsKeys | undefined;
  /** The IP number to connect from: the one at which other hosts know this host. */
  readonly localIp: string;
  /** How long to try, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Finds the host that a certificate was issued to.
 *
 * @param certificate - the certificate of the other side
 * @returns the common name of its subject
 * @internal
 */
export function findCertificateHost(certificate: PeerCertificate): string | undefined {
  const name = (certificate.subject as PeerCertificate['subject'] | undefined)?.CN;
  return Array.isArray(name) ? undefined : name;
}

/**
 * Opens a socket to another host.
 *
 * @param hostId - the host, which its certificate must name
 * @param address - `ip:port`
 * @param options - from where, with which keys, and how long to try
 * @returns the open socket
 * @throws Error when it cannot be opened
 * @internal
 */
export function openPeerSocket(
  hostId: HostId,
  address: string,
  options: PeerSocketOptions,
): Promise<Socket> {
  const { ip, port } = parseAddress(address);
  const { keys, localIp, timeoutMs } = options;
  return new Promise((resolve, reject) => {
    const plain = connect({ host: ip, port, localAddress: localIp });
    const socket =
      keys === undefined
        ? plain
        : connectTls({
            socket: plain,
            cert: keys.certificate,
            key: keys.key,
            ca: keys.authority,
            checkServerIdentity: (_name, certificate) =>
              findCertificateHost(certificate) === hostId
                ? undefined
                : new Error(`the certificate does not name ${hostId}`),
          });
    const timer = setTimeout(() => socket.destroy(new Error('connecting timed out')), timeoutMs);
    socket.once(keys === undefined ? 'connect' : 'secureConnect', () => {
      clearTimeout(timer);
      resolve(socket);
    });
    const fail = (error: Error) => {
      clearTimeout(timer);
      reject(error);
    };
    plain.once('error', fail);
    socket.once('error', fail);
  });
}
