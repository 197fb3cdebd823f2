/** A position in the history of the store. @public */
export interface StorePosition {
  /**
   * Rises by one whenever the store returns from an older copy of its contents. Revisions since that
   * copy are given out again, so revisions of different epochs are unrelated.
   */
  readonly epoch: number;
  readonly revision: number;
}

/** The position of a host that has not read the store. @internal */
export const NO_POSITION: StorePosition = { epoch: 0, revision: 0 };

/**
 * Returns whether one position is after another in the history of the store.
 *
 * @param position - the position to check
 * @param other - the position to compare it with
 * @returns whether it is of a later epoch, or later in the same one
 * @internal
 */
export function isAfter(position: StorePosition, other: StorePosition): boolean {
  return position.epoch === other.epoch
    ? position.revision > other.revision
    : position.epoch > other.epoch;
}
