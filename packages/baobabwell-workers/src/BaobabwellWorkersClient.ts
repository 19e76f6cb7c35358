import type { Result } from '@baobabwell/utils';

/** The lease that an entry asks a worker for. */
export type LeaseRequest = {
  /** Identity of the entry and of its incarnation. */
  readonly holder: string;
  readonly slots: number;
};

/** The lease that a worker granted. */
export type LeaseGrant = {
  readonly slots: number;
  /** Slots that no entry holds. */
  readonly free: number;
  /** Tasks of this holder that are running. */
  readonly tasks: readonly string[];
};

/** Work to be run once. */
export type Task = {
  readonly id: string;
  readonly holder: string;
  readonly team: string;
  readonly queue: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Milliseconds left until the deadline. */
  readonly timeoutMs: number;
};

/** A whole answer of a worker. */
export type WorkerAnswer = {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
};

/** What became of a task that was given to a worker. */
export type TaskOutcome =
  | { readonly kind: 'answered'; readonly answer: WorkerAnswer }
  /** The worker ran the work, and the work failed. */
  | { readonly kind: 'failed' }
  /** The worker says that it did not start the work. */
  | { readonly kind: 'rejected'; readonly code: string }
  /** No byte of the request left this process. */
  | { readonly kind: 'not-sent'; readonly cause: string }
  /** A byte may have left and no whole answer came back. */
  | { readonly kind: 'lost'; readonly cause: string };

/** Why a worker could not be reached. */
export type WorkerError = { readonly kind: 'unreachable'; readonly cause: string };

/** One worker as an entry sees it. Operations never reject. */
export abstract class WorkerClient {
  /** Renews the lease and asks for a number of slots. */
  abstract renew(request: LeaseRequest): Promise<Result<LeaseGrant, WorkerError>>;

  /** Runs a task; aborting the signal abandons the exchange and its connection. */
  abstract run(task: Task, signal: AbortSignal): Promise<TaskOutcome>;

  /**
   * Asks the worker to stop a task, and never to start it if it has not yet.
   *
   * @returns whether the worker confirmed that the task does not run.
   */
  abstract stop(taskId: string): Promise<boolean>;

  /** Closes all connections at once. */
  abstract close(): Promise<void>;
}

/** Creates the client of a worker's address. */
export abstract class WorkerClientFactory {
  /** @param connections most connections for tasks. */
  abstract create(address: string, connections: number): WorkerClient;
}
