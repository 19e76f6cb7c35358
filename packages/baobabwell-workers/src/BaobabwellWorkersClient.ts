import type { AnswerStream } from './BaobabwellWorkersAnswerStream';
import type { PriorityClass } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

/** The lease that an entry asks a worker for. */
export type LeaseRequest = {
  /** Identity of the entry and of its incarnation. */
  readonly holder: string;
  readonly slots: number;
  /** Tasks that must not run, or not run on; an answer confirms that they do not. */
  readonly stops: readonly string[];
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
  readonly priority: PriorityClass;
  /** Whether a large answer may come as a stream. */
  readonly isStreamable: boolean;
  /** Milliseconds left until the deadline, after which the worker stops the task. */
  readonly timeoutMs: number;
  /** Asked right before the first byte is sent; `false` keeps the task from being sent. */
  readonly canStart: () => boolean;
};

/** An answer of a worker: whole, or a stream that is whole only once it has ended so. */
export type WorkerAnswer = {
  /** The task that the answer says it belongs to, or `null` when it does not say. */
  readonly taskId: string | null;
  readonly status: number;
  readonly contentType: string;
  /** The whole answer; empty when there is a stream. */
  readonly body: Uint8Array;
  readonly stream: AnswerStream | null;
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

  /** Asks the worker to stop a task. */
  abstract stop(taskId: string): Promise<void>;

  /**
   * Replaces every connection for tasks: exchanges in flight end on the old ones, which are then
   * closed, and later tasks use new ones.
   *
   * @param connections most connections for tasks from now on.
   */
  abstract replaceConnections(connections: number): void;

  /** Closes all connections at once. */
  abstract close(): Promise<void>;
}

/** Creates the client of a worker's address. */
export abstract class WorkerClientFactory {
  /** @param connections most connections for tasks. */
  abstract create(address: string, connections: number): WorkerClient;
}
