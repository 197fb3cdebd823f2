import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * A source of randomness, passed in wherever chance decides so that tests can repeat it.
 *
 * @public
 */
export interface Random {
  /** A number from 0, included, to 1, excluded. */
  nextFraction(): number;
  /** An integer from 0, included, to `limit`, excluded. */
  nextInteger(limit: number): number;
}

/**
 * Creates a seeded random source.
 *
 * @param seed - equal seeds give equal sequences
 * @returns the source
 * @public
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const nextFraction = () => uniformFloat64(generator);
  return { nextFraction, nextInteger: (limit) => Math.floor(nextFraction() * limit) };
}
