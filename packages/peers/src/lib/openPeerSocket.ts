import { connect, type Socket } from 'node:net';
import { connect as connectTls, type PeerCertificate } from 'node:tls';

import type { HostId } from '@endiveferry/base';
import { parseAddress } from '@endiveferry/settings';

/**
 * Credentials for mutual TLS, in PEM format.
 *
 * @public
 */
export interface TlsKeys {
  /** Certificate of this host, whose common name is its host id. */
  readonly certificate: string;
  /** Private key of the certificate. */
  readonly key: string;
  /** Certificate of the authority that signs all hosts; undefined uses the root CAs of Node.js. */
  readonly authority: string | undefined;
}

/**
 * Options for opening a socket to another host.
 *
 * @internal
 */
export interface PeerSocketOptions {
  /** Credentials for mutual TLS; undefined opens a plain TCP socket. */
  readonly keys: TlsKeys | undefined;
  /** Source IP address of the connection: the one under which other hosts know this host. */
  readonly localIp: string;
  /** Timeout for connecting, including the TLS handshake, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * Returns the host id for which a certificate was issued.
 *
 * @param certificate - certificate of the remote host
 * @returns the common name of the subject, or undefined unless there is exactly one
 * @internal
 */
export function findCertificateHost(certificate: PeerCertificate): string | undefined {
  const name = (certificate.subject as PeerCertificate['subject'] | undefined)?.CN;
  return Array.isArray(name) ? undefined : name;
}

/**
 * Opens a socket to another host.
 *
 * @param hostId - id of the host; with TLS, its certificate must have this common name
 * @param address - address of the host, `ip:port`
 * @param options - see {@link PeerSocketOptions}
 * @returns the open socket; with TLS, after the handshake
 * @throws Error when connecting fails or times out, or when the certificate names another host
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
    const timer = setTimeout(() => socket.destroy(new Error('connection timed out')), timeoutMs);
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
