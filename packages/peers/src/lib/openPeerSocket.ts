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
 * @param keys - keys of mutual TLS; a plain socket when left out
 * @param timeoutMs - how long to try, in milliseconds
 * @returns the open socket
 * @throws Error when it cannot be opened
 * @internal
 */
export function openPeerSocket(
  hostId: HostId,
  address: string,
  keys: TlsKeys | undefined,
  timeoutMs: number,
): Promise<Socket> {
  const { ip, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    const socket =
      keys === undefined
        ? connect({ host: ip, port })
        : connectTls({
            host: ip,
            port,
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
      socket.off('error', reject);
      resolve(socket);
    });
    socket.once('error', (error: Error) => {
      clearTimeout(timer);
      reject(error);
    });
  });
}
