import type { AnswerStream } from './BaobabwellWorkersAnswerStream';
import type { PriorityClass } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

/** The lease that an entry requests from a worker. */
export type LeaseRequest = {
  /** Key of the entry and its incarnation. */
  readonly holder: string;
  readonly slots: number;
  /** Tasks that must not start or must be stopped; a reply confirms that none of them runs. */
  readonly stops: readonly string[];
};

/** The lease that a worker granted. */
export type LeaseGrant = {
  readonly slots: number;
  /** Slots that no entry holds. */
  readonly free: number;
  /** Running tasks of this holder. */
  readonly tasks: readonly string[];
};

/** A piece of work that runs at most once. */
export type Task = {
  readonly id: string;
  readonly holder: string;
  readonly team: string;
  readonly queue: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly priority: PriorityClass;
  /** Whether a large answer may be streamed. */
  readonly isStreamable: boolean;
  /** Time left until the deadline, at which the worker stops the task. */
  readonly timeoutMs: number;
  /** Called right before the first byte is sent; `false` prevents the task from being sent. */
  readonly canStart: () => boolean;
};

/** An answer of a worker: complete, or a stream that may still be truncated. */
export type WorkerAnswer = {
  /** Task identifier in the answer, or `null` without one. */
  readonly taskId: string | null;
  readonly status: number;
  readonly contentType: string;
  /** The complete answer; empty when it is streamed. */
  readonly body: Uint8Array;
  readonly stream: AnswerStream | null;
};

/** Outcome of a task on a worker. */
export type TaskOutcome =
  | { readonly kind: 'answered'; readonly answer: WorkerAnswer }
  /** The worker ran the work, and the work failed. */
  | { readonly kind: 'failed' }
  /** The worker replied that it did not start the work. */
  | { readonly kind: 'rejected'; readonly code: string }
  /** No byte of the request was sent. */
  | { readonly kind: 'not-sent'; readonly cause: string }
  /** A byte may have been sent, and no complete answer was received. */
  | { readonly kind: 'lost'; readonly cause: string };

/** Reason why a worker could not be reached. */
export type WorkerError = { readonly kind: 'unreachable'; readonly cause: string };

/** Client of one worker. Operations never reject. */
export abstract class WorkerClient {
  /** Renews the lease with the requested number of slots. */
  abstract renew(request: LeaseRequest): Promise<Result<LeaseGrant, WorkerError>>;

  /** Runs a task; aborting the signal abandons the exchange and its connection. */
  abstract run(task: Task, signal: AbortSignal): Promise<TaskOutcome>;

  /** Asks the worker to stop a task. */
  abstract stop(taskId: string): Promise<void>;

  /**
   * Replaces all task connections: exchanges in flight finish on the old ones, which are then
   * closed, and later tasks use new ones.
   *
   * @param connections maximum number of task connections from now on.
   */
  abstract replaceConnections(connections: number): void;

  /** Closes all connections at once. */
  abstract close(): Promise<void>;
}

/** Creates clients of workers by their address. */
export abstract class WorkerClientFactory {
  /** @param connections maximum number of task connections. */
  abstract create(address: string, connections: number): WorkerClient;
}
