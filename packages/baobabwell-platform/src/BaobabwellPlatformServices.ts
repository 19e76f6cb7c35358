import type { Result } from '@baobabwell/utils';

/** State of a host in the platform's host list. */
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

/** Failure of a call to the object store or the host list. */
export type PlatformError = {
  readonly kind: 'unavailable' | 'not-found';
  readonly cause: string;
};

/** The platform's object store. Its promises never reject. */
export abstract class ObjectStore {
  /** Stores an object under a name and replaces any existing one. */
  abstract put(name: string, body: Uint8Array): Promise<Result<null, PlatformError>>;

  /** Returns the complete object. */
  abstract get(name: string): Promise<Result<Uint8Array, PlatformError>>;

  /** Removes an object; succeeds if the object does not exist. */
  abstract remove(name: string): Promise<Result<null, PlatformError>>;
}

/** The platform's list of live and leaving hosts, which may be out of date. Its promises never reject. */
export abstract class HostList {
  /** Lists all hosts. */
  abstract list(): Promise<Result<readonly ListedHost[], PlatformError>>;
}
