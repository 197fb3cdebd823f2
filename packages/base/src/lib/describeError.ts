/**
 * Describes anything that was thrown, in one line.
 *
 * @param error - what was thrown
 * @returns its message and, where it has one, its code
 * @internal
 */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = (error as NodeJS.ErrnoException).code;
  const message = error.message === '' ? error.name : error.message;
  return code === undefined || message.includes(code) ? message : `${code}: ${message}`;
}
