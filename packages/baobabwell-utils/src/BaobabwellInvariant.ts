/** Thrown when the program reaches a state that its own logic rules out. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError';
}

/**
 * Throws if a condition that must always hold is not met.
 *
 * @throws {InvariantError} when `condition` is falsy.
 */
export function checkInvariant(condition: unknown, message: string): asserts condition {
  if (!condition) {
    throw new InvariantError(message);
  }
}
