/**
 * Returns the seed and the number of cases of a property test. A soak run overrides the values of
 * the test through the environment variables SOAK_SEED and SOAK_RUNS.
 *
 * @param seed - seed when SOAK_SEED is not set
 * @param numRuns - number of cases when SOAK_RUNS is not set
 * @returns parameters for `fc.assert`
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
