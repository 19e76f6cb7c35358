/** Thrown when the program reaches a state that its own logic rules out. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError';
}

/**
 * Fails loudly when a condition that must hold does not.
 *
 * @throws {InvariantError} when `condition` is falsy.
 */
export function checkInvariant(condition: unknown, message: string): asserts condition {
  if (!condition) {
    throw new InvariantError(message);
  }
}
