/** A value, or an expected failure described by a tagged union. */
export type Result<T, E> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly error: E };

/** Builds a successful result. */
export function createOk<T>(value: T): { readonly ok: true; readonly value: T } {
  return { ok: true, value };
}

/** Builds a failed result. */
export function createError<E>(error: E): { readonly ok: false; readonly error: E } {
  return { ok: false, error };
}
