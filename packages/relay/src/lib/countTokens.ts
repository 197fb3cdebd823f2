import type { PromptPart } from './ports.js';

/**
 * Counts the tokens of a prompt.
 *
 * @param parts - its parts
 * @returns all their tokens
 * @internal
 */
export function countTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
