/**
 * Formats a thrown value for a log line or an error detail.
 *
 * @param error - the thrown value, of any type
 * @returns the message, preceded by the error code unless the message contains it
 * @internal
 */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = (error as NodeJS.ErrnoException).code;
  const message = error.message === '' ? error.name : error.message;
  return code === undefined || message.includes(code) ? message : `${code}: ${message}`;
}
