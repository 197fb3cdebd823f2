/**
 * Marks a branch that the types rule out.
 *
 * @param value - the value that should not exist
 * @param what - what the value stands for
 * @throws Error always, naming the value
 * @internal
 */
export function assertNever(value: never, what: string): never {
  throw new Error(`unexpected ${what}: ${String(value)}`);
}
