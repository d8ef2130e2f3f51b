/** Input parser of procedures that take bytes; the peer server passes the body that it has read. */
export function parseBinaryInput(input: unknown): Uint8Array {
  if (input instanceof Uint8Array) return input;
  throw new Error('expected a binary request body');
}
