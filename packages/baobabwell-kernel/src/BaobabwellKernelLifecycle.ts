import type { Clock } from '@baobabwell/utils';

/** Closes a resource, possibly asynchronously. */
export type CloseResource = () => Promise<void> | void;

/** Reverts a registration; further calls have no effect. */
export type Undo = () => void;

/** A resource that failed to close or did not close within its timeout. */
export type CloseFailure = {
  readonly name: string;
  readonly cause: unknown;
};

type OwnedResource = {
  readonly name: string;
  readonly timeoutMs: number;
  readonly close: CloseResource;
};

const DEFAULT_CLOSE_TIMEOUT_MS = 5_000;

/** Thrown when a resource does not close within its timeout. */
export class CloseTimeoutError extends Error {
  override readonly name = 'CloseTimeoutError';
}

/** Owns resources and closes them in reverse order of addition. */
export class LifecycleManager {
  readonly #clock: Clock;

  #resources: OwnedResource[] = [];

  #closing: Promise<readonly CloseFailure[]> | null = null;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** True once closing has begun. */
  get isClosing(): boolean {
    return this.#closing !== null;
  }

  /**
   * Adds a resource, which is closed together with the others.
   *
   * @param timeoutMs maximum time to wait for the resource to close before the next one is closed.
   * @returns a function that removes the resource without closing it.
   */
  add(name: string, close: CloseResource, timeoutMs: number = DEFAULT_CLOSE_TIMEOUT_MS): Undo {
    const resource = { name, timeoutMs, close };
    this.#resources.push(resource);
    return () => {
      this.#resources = this.#resources.filter((other) => other !== resource);
    };
  }

  /** Closes all resources once; later calls wait for the same result. */
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
    const timeoutController = new AbortController();
    const timeout = this.#clock.wait(resource.timeoutMs, timeoutController.signal).then(() => {
      if (!timeoutController.signal.aborted) {
        throw new CloseTimeoutError(
          `${resource.name} did not close within ${resource.timeoutMs} ms`,
        );
      }
    });
    try {
      await Promise.race([Promise.resolve().then(async () => resource.close()), timeout]);
      return null;
    } catch (error) {
      return error;
    } finally {
      timeoutController.abort();
    }
  }
}
