import { availabilityZoneIdSchema, type AvailabilityZoneId, type Clock } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';
import { z } from 'zod';

import type { EvacuationChange } from '../ports.js';
import { isAfter, NO_POSITION, type StorePosition } from '../StorePosition.js';

/** Time for which one warning of an unknown availability zone suffices, in milliseconds. */
const UNKNOWN_REPEAT_MS = 60_000;

const zoneStateSchema = z.object({
  availabilityZone: availabilityZoneIdSchema,
  isEvacuated: z.boolean(),
  epoch: z.int(),
  revision: z.int(),
});

/** Schema of {@link EvacuationReport}. @internal */
export const evacuationReportSchema = z.object({
  /** Position up to which the evacuations were read from the store. */
  epoch: z.int(),
  revision: z.int(),
  /** All availability zones that are or were evacuated, with where that was written. */
  zones: z.array(zoneStateSchema),
});

/** The evacuations that a host knows of, as hosts report them to each other. @public */
export type EvacuationReport = z.infer<typeof evacuationReportSchema>;

/**
 * The availability zones to whose servers nothing is sent. Until it is known which these are, all
 * count as evacuated.
 *
 * @public
 */
export interface EvacuatedZones {
  /** Whether nothing may be sent to the servers of a zone. */
  readonly has: (zone: AvailabilityZoneId) => boolean;
  /** Whether this host has read the evacuations, or heard of them from a host that has. */
  readonly isKnown: () => boolean;
  /** Lists the zones that are evacuated. */
  readonly list: () => readonly AvailabilityZoneId[];
  /** Applies a complete read of the store: zones without a request in it are not evacuated. */
  replace(requests: readonly EvacuationChange[], position: StorePosition): void;
  /** Applies changes that were written at the store, up to a position. */
  apply(changes: readonly EvacuationChange[], position: StorePosition): void;
  /** Applies what another host reports. */
  applyReport(report: EvacuationReport, source: string): void;
  /** Returns what to report to other hosts; undefined before it is known. */
  readonly buildReport: () => EvacuationReport | undefined;
  /** Logs evacuated zones in which no server is listed. */
  checkZones(listed: ReadonlySet<AvailabilityZoneId>): void;
}

/** Options of {@link createEvacuatedZones}. @public */
export interface EvacuatedZonesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called after each change. */
  readonly onChange: () => void;
}

interface ZoneState {
  readonly isEvacuated: boolean;
  /** Where the request was written or removed, or a read without it. */
  readonly position: StorePosition;
}

/**
 * Creates the knowledge of a host that has read nothing. The newest write or removal of a zone takes
 * precedence. A read without the request ends an evacuation only in the epoch in which it began: a
 * later epoch begins with an older copy of the store, which lacks requests that still apply. Such an
 * evacuation ends when the request is written again and removed.
 *
 * @param options - see {@link EvacuatedZonesOptions}
 * @returns the knowledge
 * @public
 */
export function createEvacuatedZones(options: EvacuatedZonesOptions): EvacuatedZones {
  const { clock, logger } = options;
  const states = new Map<AvailabilityZoneId, ZoneState>();
  /** Evacuated zones without listed servers, with the time of the warning. */
  const unknownAt = new Map<AvailabilityZoneId, number>();
  let readUpTo = NO_POSITION;
  let hasRead = false;

  const isEvacuated = (zone: AvailabilityZoneId) => states.get(zone)?.isEvacuated === true;

  /** Whether a read of this epoch, after the request was written, did not have it any more. */
  const isDisproved = ({ isEvacuated: isRequested, position }: ZoneState) =>
    isRequested && position.epoch === readUpTo.epoch && position.revision <= readUpTo.revision;

  /** Applies the state of a zone if it is newer; returns whether the zone is used differently. */
  function setState(zone: AvailabilityZoneId, next: ZoneState, source: string): boolean {
    const known = states.get(zone);
    if (known !== undefined && !isAfter(next.position, known.position)) return false;
    states.set(zone, next);
    if ((known?.isEvacuated ?? false) === next.isEvacuated) return false;
    unknownAt.delete(zone);
    logger.info(
      next.isEvacuated
        ? 'evacuation of an availability zone begins'
        : 'evacuation of an availability zone ends',
      { availabilityZone: zone, source, ...next.position },
    );
    return true;
  }

  function recordRead(position: StorePosition, hasChanged: boolean): void {
    const isFirst = !hasRead;
    hasRead = true;
    if (isAfter(position, readUpTo)) readUpTo = position;
    if (isFirst || hasChanged) options.onChange();
  }

  function logKept(zone: AvailabilityZoneId, began: StorePosition, position: StorePosition): void {
    if (position.epoch === readUpTo.epoch) return;
    logger.warn(
      'evacuation of an availability zone continues: an older copy of the store lacks it',
      {
        availabilityZone: zone,
        beganEpoch: began.epoch,
        beganRevision: began.revision,
        ...position,
      },
    );
  }

  function applyChanges(changes: readonly EvacuationChange[], epoch: number): boolean {
    const hasChanged = changes.map(({ availabilityZone, isEvacuated: isRequested, revision }) =>
      setState(
        availabilityZone,
        { isEvacuated: isRequested, position: { epoch, revision } },
        'the store',
      ),
    );
    return hasChanged.includes(true);
  }

  return {
    has: (zone) => !hasRead || isEvacuated(zone),
    isKnown: () => hasRead,
    list: () => [...states.keys()].filter(isEvacuated),
    replace(requests, position) {
      if (isAfter(readUpTo, position)) return;
      let hasChanged = applyChanges(requests, position.epoch);
      const requested = new Set(requests.map(({ availabilityZone }) => availabilityZone));
      for (const [zone, state] of states) {
        if (!state.isEvacuated || requested.has(zone)) continue;
        if (state.position.epoch !== position.epoch) logKept(zone, state.position, position);
        else if (setState(zone, { isEvacuated: false, position }, 'the store')) hasChanged = true;
      }
      recordRead(position, hasChanged);
    },
    apply(changes, position) {
      recordRead(position, applyChanges(changes, position.epoch));
    },
    applyReport({ zones, ...position }, source) {
      let hasChanged = false;
      for (const { availabilityZone, isEvacuated: isReported, ...written } of zones) {
        const state = { isEvacuated: isReported, position: written };
        const known = states.get(availabilityZone);
        const isNews = known === undefined || isAfter(written, known.position);
        const next =
          isNews && isDisproved(state) ? { isEvacuated: false, position: readUpTo } : state;
        if (setState(availabilityZone, next, source)) hasChanged = true;
      }
      recordRead(position, hasChanged);
    },
    buildReport: () =>
      hasRead
        ? {
            ...readUpTo,
            zones: [...states].map(([availabilityZone, state]) => ({
              availabilityZone,
              isEvacuated: state.isEvacuated,
              ...state.position,
            })),
          }
        : undefined,
    checkZones(listed) {
      if (listed.size === 0) return;
      for (const zone of states.keys()) {
        if (!isEvacuated(zone) || listed.has(zone)) continue;
        if (clock.now() - (unknownAt.get(zone) ?? -Infinity) < UNKNOWN_REPEAT_MS) continue;
        unknownAt.set(zone, clock.now());
        logger.warn('no backend server is listed in the evacuated availability zone', {
          availabilityZone: zone,
        });
      }
    },
  };
}
