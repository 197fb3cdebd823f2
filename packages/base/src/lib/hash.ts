import { computeXxhash } from './computeXxhash.js';

/**
 * Computes the 32-bit xxHash of a text, which is the same on every host.
 *
 * @param text - the text to hash
 * @param seed - different seeds give independent hashes of the same text
 * @returns an unsigned 32-bit integer
 * @public
 */
export function computeHash(text: string, seed = 0): number {
  return computeXxhash(text, seed);
}

/**
 * Orders candidates by rendezvous hashing: each key has its own order, and adding or removing a
 * candidate changes the first choice only of the keys that it gains or loses.
 *
 * @param key - the key to place
 * @param candidates - ids to choose from
 * @returns the candidates, preferred first
 * @public
 */
export function computeRendezvousOrder<Id extends string>(
  key: string,
  candidates: readonly Id[],
): Id[] {
  return candidates
    .map((id) => ({ id, score: computeHash(`${key}\u0000${id}`) }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}

/** Number of distinct 32-bit hash values. */
const HASH_RANGE = 2 ** 32;

/**
 * Orders candidates by weighted rendezvous hashing, like {@link computeRendezvousOrder}; each
 * candidate is the first choice for a share of all keys proportional to its weight.
 *
 * @param key - the key to place
 * @param weights - ids to choose from, each with a weight greater than 0
 * @returns the candidates, preferred first
 * @public
 */
export function computeWeightedOrder<Id extends string>(
  key: string,
  weights: ReadonlyMap<Id, number>,
): Id[] {
  return [...weights]
    .map(([id, weight]) => {
      const fraction = (computeHash(`${key}\u0000${id}`) + 1) / (HASH_RANGE + 1);
      return { id, score: Math.log(fraction) / weight };
    })
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}
