import type { PromptPart } from '../ports.js';

/**
 * Returns the number of tokens of a prompt.
 *
 * @param parts - the parts of the prompt
 * @returns the sum of their tokens
 * @internal
 */
export function countTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
