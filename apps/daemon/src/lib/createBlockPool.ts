/** Size of a block, in bytes. @internal */
export const BLOCK_BYTES = 16_384;

/** Blocks of memory that are used again at once, without waiting for the garbage collector. @internal */
export interface BlockPool {
  /** Returns a block with undefined content. */
  acquire(): Buffer;
  /** Takes back blocks. */
  release(blocks: readonly Buffer[]): void;
}

/**
 * Creates a pool without blocks.
 *
 * @param maxFree - number of free blocks that are kept
 * @returns the pool
 * @internal
 */
export function createBlockPool(maxFree: number): BlockPool {
  const free: Buffer[] = [];
  return {
    acquire: () => free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES),
    release(blocks) {
      free.push(...blocks.slice(0, Math.max(0, maxFree - free.length)));
    },
  };
}
