import { readFileSync } from 'node:fs';

import type { TlsKeys } from '@endiveferry/peers';
import type { TlsSettings } from '@endiveferry/settings';

/**
 * Reads the certificate and key files of a TLS setting.
 *
 * @param settings - paths of the files; undefined for a listener without TLS
 * @returns the keys, or undefined for a listener without TLS
 * @throws Error when a file cannot be read
 * @internal
 */
export function readTlsKeys(settings: TlsSettings | undefined): TlsKeys | undefined {
  if (settings === undefined) return undefined;
  const { certificateFile, keyFile, authorityFile } = settings;
  return {
    certificate: readFileSync(certificateFile, 'utf8'),
    key: readFileSync(keyFile, 'utf8'),
    authority: authorityFile === undefined ? undefined : readFileSync(authorityFile, 'utf8'),
  };
}
