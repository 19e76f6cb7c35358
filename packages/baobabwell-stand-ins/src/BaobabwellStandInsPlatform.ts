import type { ListedHost, PlatformError } from '@baobabwell/platform';
import type { Clock, Result } from '@baobabwell/utils';

import { HostList, ObjectStore } from '@baobabwell/platform';
import { createError, createOk } from '@baobabwell/utils';

/** An in-memory object store. */
export class StandInObjectStore extends ObjectStore {
  readonly #objects = new Map<string, Uint8Array>();

  #isDown = false;

  /** Makes every operation fail, or succeed again. */
  setDown(isDown: boolean): void {
    this.#isDown = isDown;
  }

  override async put(name: string, body: Uint8Array): Promise<Result<null, PlatformError>> {
    return this.#runUnlessDown(() => {
      this.#objects.set(name, body);
      return createOk(null);
    });
  }

  override async get(name: string): Promise<Result<Uint8Array, PlatformError>> {
    return this.#runUnlessDown(() => {
      const body = this.#objects.get(name);
      return body === undefined ? createError({ kind: 'not-found', cause: name }) : createOk(body);
    });
  }

  override async remove(name: string): Promise<Result<null, PlatformError>> {
    return this.#runUnlessDown(() => {
      this.#objects.delete(name);
      return createOk(null);
    });
  }

  #runUnlessDown<T>(run: () => Result<T, PlatformError>): Result<T, PlatformError> {
    return this.#isDown ? createError({ kind: 'unavailable', cause: 'service down' }) : run();
  }
}

type ListVersion = {
  readonly visibleAt: number;
  readonly hosts: readonly ListedHost[];
};

/** An in-memory host list whose changes become visible after a lag. */
export class StandInHostList extends HostList {
  readonly #clock: Clock;

  readonly #lagMs: number;

  #versions: ListVersion[] = [{ visibleAt: Number.NEGATIVE_INFINITY, hosts: [] }];

  #isDown = false;

  constructor(clock: Clock, lagMs: number) {
    super();
    this.#clock = clock;
    this.#lagMs = lagMs;
  }

  /** Makes every read fail, or succeed again. */
  setDown(isDown: boolean): void {
    this.#isDown = isDown;
  }

  /** Replaces the list; readers see the change after the lag. */
  replace(hosts: readonly ListedHost[]): void {
    this.#versions.push({ visibleAt: this.#clock.getNow() + this.#lagMs, hosts });
  }

  override async list(): Promise<Result<readonly ListedHost[], PlatformError>> {
    if (this.#isDown) {
      return createError({ kind: 'unavailable', cause: 'service down' });
    }
    const now = this.#clock.getNow();
    const visible = this.#versions.filter(({ visibleAt }) => visibleAt <= now);
    const newest = visible.at(-1);
    return createOk(newest?.hosts ?? []);
  }
}
