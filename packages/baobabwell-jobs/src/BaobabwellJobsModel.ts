/** Resources that a task requires on its host while it runs. */
export type Resources = {
  /** Thousandths of a core. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly gpus: number;
};

/** A step of a job: a number of identical tasks. */
export type StepSpec = {
  readonly taskCount: number;
  readonly need: Resources;
  /** Estimated duration of one task, in ms; the estimate may be far off. */
  readonly estimateMs: number;
  /** Positions of earlier steps that must be done before this one starts. */
  readonly after: readonly number[];
  /** The tasks write checkpoints and can be resumed on another host. */
  readonly keepsCheckpoints: boolean;
  /** The tasks make progress only while all of them run. */
  readonly isGang: boolean;
  /** The tasks slow each other down unless they share a rack. */
  readonly prefersOneRack: boolean;
  /** Label that the host must carry. */
  readonly hostLabel: string | null;
  /** Rack that holds the data of the tasks. */
  readonly dataRack: string | null;
  /** Maximum number of tasks of the step on one host; 0 for no limit. */
  readonly maxPerHost: number;
  /** Several runs of one task may exist at the same time. */
  readonly isSpeculative: boolean;
  /** The tasks are long running: they run until the job is cancelled. */
  readonly isLasting: boolean;
  /** Image of the tasks; tasks with the same image behave alike. */
  readonly image: string;
  /**
   * Upper limit on the tail latency of serving tasks, in ms; 0 for tasks that serve no requests.
   */
  readonly tailTargetMs: number;
  /** The tasks are best-effort: they use only CPU time that other tasks leave idle. */
  readonly isFilling: boolean;
  /**
   * Maximum number of tasks of a long running step that the system may make unavailable at once.
   */
  readonly maxAway: number;
};

/** Schedule of a job whose steps run several times at fixed times. */
export type RepeatSpec = {
  readonly count: number;
  /** Due time of the first occurrence, in ms since 1970. */
  readonly firstDueMs: number;
  readonly intervalMs: number;
};

/** A job as a caller submits it. */
export type JobSpec = {
  /** Opaque text that is passed on to the hosts. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly repeat: RepeatSpec | null;
};

/** A queue that callers reach over HTTP. */
export type QueueSettings = {
  readonly name: string;
  /** Name of the HTTP host under which callers reach it. */
  readonly httpHost: string;
  readonly pathPrefix: string;
  /** Pool whose hosts run the tasks of the queue. */
  readonly pool: string;
  /**
   * Priority; 0 is the highest and may preempt tasks of other queues. The controller only orders
   * waiting steps by it and preempts none.
   */
  readonly priority: number;
  readonly maxAttempts: number;
  /** The objective of a job is this multiple of its critical path, plus `targetLatencyMs`. */
  readonly stretch: number;
  readonly targetLatencyMs: number;
  /** Callers need no key. */
  readonly isOpen: boolean;
  /**
   * Timing of the advisor that must approve the hosts of a step; `null` if the queue has no
   * advisor.
   */
  readonly advice: {
    readonly validMs: number;
    readonly decideMs: number;
    readonly perHostMs: number;
  } | null;
};

/** An accepted job, as it is persisted in its row. */
export type JobRecord = {
  readonly id: string;
  readonly queue: string;
  /** Settings of the queue when the job was accepted; older builds store none. */
  readonly route?: QueueSettings | undefined;
  /** Organisation whose key the caller presented; `null` on an open queue. */
  readonly organisation: string | null;
  /** Wall-clock time at which the job was accepted, in ms since 1970. */
  readonly acceptedAtMs: number;
  readonly spec: JobSpec;
};

/** State of a job as callers see it. */
export enum JobState {
  Queued = 'queued',
  Running = 'running',
  Completed = 'completed',
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** Parts of the name of a task. */
export type TaskName = {
  readonly jobId: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
};

/** How a run ended. */
export enum RunEnd {
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  /** The lease of the host expired. */
  LeaseExpired = 'lapsed',
  /** Another member of the gang ended. */
  GangMemberEnded = 'broken',
  /** The other members of the gang did not start. */
  GangIncomplete = 'alone',
}

/** A run and the incarnation of the host on which it was placed. */
export type RunOnHost = {
  readonly number: number;
  readonly hostId: string;
  /** Start of the host's incarnation, in ms since 1970; `null` if it is not known. */
  readonly hostBornMs: number | null;
};

/** A run that was stored before its start. */
export type StoredStart = {
  readonly run: number;
  readonly hostId: string;
  readonly bornMs: number | null;
};

const TASK_NAME_PARTS = 4;

/** Formats the name of a task. */
export function formatTaskName({ jobId, occurrence, step, index }: TaskName): string {
  return `${jobId}.${occurrence}.${step}.${index}`;
}

/** Parses the name of a task; returns `null` if the text is no such name. */
export function parseTaskName(text: string): TaskName | null {
  const parts = text.split('.');
  if (parts.length !== TASK_NAME_PARTS) {
    return null;
  }
  const [jobId = '', ...numbers] = parts;
  const [occurrence = NaN, step = NaN, index = NaN] = numbers.map(Number);
  return [occurrence, step, index].every((number) => Number.isInteger(number) && number >= 0)
    ? { jobId, occurrence, step, index }
    : null;
}
