import { listEntries } from '@endiveferry/base';
import type { Claims } from '@endiveferry/claims';

import type { ControlState } from './createControlState.js';

/**
 * Sets the hosts that own keys. They depend on the platform's host list alone, which is confirmed
 * continuously.
 *
 * @param control - provides the host list in force
 * @param claims - keeps the owners
 * @internal
 */
export function updateKeyOwners(
  control: Pick<ControlState, 'hostList'>,
  claims: Pick<Claims, 'view'>,
): void {
  const list = control.hostList();
  if (list === undefined) return;
  const live = listEntries(list.hosts).filter(([, { state }]) => state === 'live');
  claims.view.setHosts(
    live.map(([id]) => id),
    list.revision,
  );
}
