import createXxhash from 'xxhash-wasm';

const xxhash = await createXxhash();

/**
 * Hashes a text; the same on every host.
 *
 * @param text - what to hash
 * @param seed - gives independent hashes of the same text
 * @returns an unsigned 32-bit integer
 * @public
 */
export function computeHash(text: string, seed = 0): number {
  return xxhash.h32(text, seed);
}

/**
 * Orders candidates by rendezvous hash, so that each key has its own order and a change of the
 * candidates moves only the keys of those that came or went.
 *
 * @param key - what is to be placed
 * @param candidates - the ids to choose from
 * @returns the candidates, best first
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

/** One more than the largest hash. */
const HASH_RANGE = 2 ** 32;

/**
 * Orders candidates by rendezvous hash like {@link computeRendezvousOrder}, so that each comes first
 * for a part of all keys that is in proportion to its weight.
 *
 * @param key - what is to be placed
 * @param weights - the ids to choose from, each with a weight above 0
 * @returns the candidates, best first
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
