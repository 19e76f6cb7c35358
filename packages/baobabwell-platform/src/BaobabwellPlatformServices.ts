import type { Result } from '@baobabwell/utils';

/** Condition of a host in the platform's host list. */
export enum ListedHostState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One host of the platform's host list. */
export type ListedHost = {
  readonly id: string;
  readonly address: string;
  readonly state: ListedHostState;
};

/** Why the object store or the host list could not answer. */
export type PlatformError = {
  readonly kind: 'unavailable' | 'not-found';
  readonly cause: string;
};

/** The platform's object store. Operations never reject. */
export abstract class ObjectStore {
  /** Stores an object under a name, replacing any earlier one. */
  abstract put(name: string, body: Uint8Array): Promise<Result<null, PlatformError>>;

  /** Gets a whole object. */
  abstract get(name: string): Promise<Result<Uint8Array, PlatformError>>;

  /** Removes an object; absent ones are not an error. */
  abstract remove(name: string): Promise<Result<null, PlatformError>>;
}

/** The platform's list of live and leaving hosts, which lags behind. Never rejects. */
export abstract class HostList {
  /** Lists all hosts. */
  abstract list(): Promise<Result<readonly ListedHost[], PlatformError>>;
}
