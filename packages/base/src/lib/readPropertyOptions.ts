/**
 * Reads how long and from which seed a property test runs: as written in the test, or as the soak
 * run asks.
 *
 * @param seed - the seed in CI
 * @param numRuns - the number of cases in CI
 * @returns options for fast-check
 * @internal
 */
export function readPropertyOptions(
  seed: number,
  numRuns: number,
): { readonly seed: number; readonly numRuns: number } {
  const { SOAK_SEED, SOAK_RUNS } = process.env;
  return {
    seed: SOAK_SEED === undefined ? seed : Number(SOAK_SEED),
    numRuns: SOAK_RUNS === undefined ? numRuns : Number(SOAK_RUNS),
  };
}
