import type { ListedServer } from '../RelayConfiguration.js';

/**
 * Checks whether two entries describe the same process. A server that starts again under its id may
 * have another address and software version.
 *
 * @param listed - an entry; undefined when the server is not listed
 * @param known - another entry of the same id
 * @returns whether nothing tells them apart
 * @internal
 */
export function isSameProcess(listed: ListedServer | undefined, known: ListedServer): boolean {
  const hasStartedAgain =
    listed?.startedAt !== undefined &&
    known.startedAt !== undefined &&
    listed.startedAt !== known.startedAt;
  return (
    listed?.address === known.address &&
    listed.softwareVersion === known.softwareVersion &&
    !hasStartedAgain
  );
}
