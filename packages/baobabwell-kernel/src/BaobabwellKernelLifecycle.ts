import type { Clock } from '@baobabwell/utils';

/** Releases what an owner holds; may take time. */
export type CloseResource = () => Promise<void> | void;

/** Cancels a registration; calling it twice has no further effect. */
export type Undo = () => void;

/** One resource that failed to close, or did not close within its bound. */
export type CloseFailure = {
  readonly name: string;
  readonly cause: unknown;
};

type OwnedResource = {
  readonly name: string;
  readonly boundMs: number;
  readonly close: CloseResource;
};

const DEFAULT_CLOSE_BOUND_MS = 5_000;

/** Raised when a resource is still open after its bound. */
export class CloseTimeoutError extends Error {
  override readonly name = 'CloseTimeoutError';
}

/** Owns resources and closes them in the reverse of the order in which they were added. */
export class LifecycleManager {
  readonly #clock: Clock;

  #resources: OwnedResource[] = [];

  #closing: Promise<readonly CloseFailure[]> | null = null;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Adds a resource to be closed with the rest.
   *
   * @param boundMs how long closing may take before the next resource is closed.
   * @returns a function that forgets the resource without closing it.
   */
  add(name: string, close: CloseResource, boundMs: number = DEFAULT_CLOSE_BOUND_MS): Undo {
    const resource = { name, boundMs, close };
    this.#resources.push(resource);
    return () => {
      this.#resources = this.#resources.filter((other) => other !== resource);
    };
  }

  /** Closes everything once; later calls wait for the same closing. */
  async close(): Promise<readonly CloseFailure[]> {
    this.#closing ??= this.#closeAll();
    return this.#closing;
  }

  async #closeAll(): Promise<readonly CloseFailure[]> {
    const failures: CloseFailure[] = [];
    for (
      let resource = this.#resources.pop();
      resource !== undefined;
      resource = this.#resources.pop()
    ) {
      const cause = await this.#closeOne(resource);
      if (cause !== null) {
        failures.push({ name: resource.name, cause });
      }
    }
    return failures;
  }

  async #closeOne(resource: OwnedResource): Promise<unknown> {
    const bound = new AbortController();
    const timeout = this.#clock.wait(resource.boundMs, bound.signal).then(() => {
      if (!bound.signal.aborted) {
        throw new CloseTimeoutError(`${resource.name} still open after ${resource.boundMs} ms`);
      }
    });
    try {
      await Promise.race([Promise.resolve().then(async () => resource.close()), timeout]);
      return null;
    } catch (error) {
      return error;
    } finally {
      bound.abort();
    }
  }
}
