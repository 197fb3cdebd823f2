// The 32-bit xxHash of short texts. It is synchronous, so that no start waits for WebAssembly.

const PRIME_1 = 0x9e3779b1;
const PRIME_2 = 0x85ebca77;
const PRIME_3 = 0xc2b2ae3d;
const PRIME_4 = 0x27d4eb2f;
const PRIME_5 = 0x165667b1;
const WORD_BYTES = 4;
const STRIPE_BYTES = 16;
const MAX_BYTES_PER_CHARACTER = 3;

const encoder = new TextEncoder();
let buffer = new Uint8Array(256);

const rotateLeft = (value: number, bits: number) => (value << bits) | (value >>> (32 - bits));

const readByte = (index: number) => buffer[index] ?? 0;

const readWord = (index: number) =>
  readByte(index) |
  (readByte(index + 1) << 8) |
  (readByte(index + 2) << 16) |
  (readByte(index + 3) << 24);

const addWord = (accumulator: number, index: number) =>
  Math.imul(rotateLeft((accumulator + Math.imul(readWord(index), PRIME_2)) | 0, 13), PRIME_1);

/** Encodes a text as UTF-8 in the shared buffer and returns the number of bytes. */
function encodeText(text: string): number {
  if (text.length * MAX_BYTES_PER_CHARACTER > buffer.length)
    buffer = new Uint8Array(text.length * MAX_BYTES_PER_CHARACTER);
  return encoder.encodeInto(text, buffer).written;
}

function hashStripes(length: number, seed: number): number {
  let first = (seed + PRIME_1 + PRIME_2) | 0;
  let second = (seed + PRIME_2) | 0;
  let third = seed | 0;
  let fourth = (seed - PRIME_1) | 0;
  for (let index = 0; index + STRIPE_BYTES <= length; index += STRIPE_BYTES) {
    first = addWord(first, index);
    second = addWord(second, index + WORD_BYTES);
    third = addWord(third, index + 2 * WORD_BYTES);
    fourth = addWord(fourth, index + 3 * WORD_BYTES);
  }
  return (
    rotateLeft(first, 1) + rotateLeft(second, 7) + rotateLeft(third, 12) + rotateLeft(fourth, 18)
  );
}

function mixBits(value: number): number {
  const first = Math.imul(value ^ (value >>> 15), PRIME_2);
  const second = Math.imul(first ^ (first >>> 13), PRIME_3);
  return (second ^ (second >>> 16)) >>> 0;
}

/**
 * Computes the 32-bit xxHash of a text's UTF-8 bytes.
 *
 * @param text - the text to hash
 * @param seed - different seeds give independent hashes of the same text
 * @returns an unsigned 32-bit integer
 * @internal
 */
export function computeXxhash(text: string, seed: number): number {
  const length = encodeText(text);
  let index = length - (length % STRIPE_BYTES);
  let hash = (length < STRIPE_BYTES ? seed + PRIME_5 : hashStripes(length, seed)) + length;
  for (; index + WORD_BYTES <= length; index += WORD_BYTES)
    hash = Math.imul(rotateLeft((hash + Math.imul(readWord(index), PRIME_3)) | 0, 17), PRIME_4);
  for (; index < length; index += 1)
    hash = Math.imul(rotateLeft((hash + Math.imul(readByte(index), PRIME_5)) | 0, 11), PRIME_1);
  return mixBits(hash | 0);
}
