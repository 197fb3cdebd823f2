import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * A source of random numbers, injected so that tests can reproduce its sequence.
 *
 * @public
 */
export interface Random {
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  nextFraction(): number;
  /** Returns an integer from 0 (inclusive) to `limit` (exclusive). */
  nextInteger(limit: number): number;
}

/**
 * Creates a seeded pseudorandom number generator.
 *
 * @param seed - equal seeds give equal sequences
 * @returns the generator
 * @public
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const nextFraction = () => uniformFloat64(generator);
  return { nextFraction, nextInteger: (limit) => Math.floor(nextFraction() * limit) };
}
