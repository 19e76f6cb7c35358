import type { JobSubmissionService } from './BaobabwellIngressJobSubmissionService';
import type { Answer, ClientProtocol, RawCall } from './BaobabwellIngressModel';
import type { ConnectionTable } from '@baobabwell/connection-limits';
import type { FleetConfiguration, QueueSettings } from '@baobabwell/fleet';
import type { Logger } from '@baobabwell/logging';
import type { Clock, Result } from '@baobabwell/utils';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import type { IncomingMessage } from 'node:http';

import Fastify from 'fastify';

import {
  answerClientError,
  BodyEnd,
  findConnection,
  limitConnections,
  readBody,
} from '@baobabwell/connection-limits';
import { registerUnreadBodyParser, REQUEST_HEADER_TIMEOUTS } from '@baobabwell/http';
import { createError, createOk, Deadline } from '@baobabwell/utils';

import { AnswerKind, ClientRequestKind } from './BaobabwellIngressModel';
import { OpenCall } from './BaobabwellIngressOpenCall';
import { NO_CONFIGURATION_RETRY_AFTER_MS, routeCall } from './BaobabwellIngressRouting';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Idle time after which a connection is closed, in ms; callers' pauses between calls are shorter. */
const KEEP_ALIVE_TIMEOUT_MS = 15_000;

/** Time for which a caller waits that does not say so, in ms. */
const DEFAULT_WAIT_MS = 3_000;

/** Longest time for which a call is kept, in ms, however long its caller waits. */
const MAX_WAIT_MS = 60_000;

/** Time before the end of a caller's wait at which the call is answered in any case, in ms. */
const ANSWER_RESERVE_MS = 100;

/** Time limit for receiving a whole call, in ms. Callers wait only 3 seconds for an answer. */
const REQUEST_TIMEOUT_MS = 10_000;

/** Time after which a connection is closed on which nothing moves, in ms; no call is kept as long. */
const CONNECTION_TIMEOUT_MS = 75_000;

/** Why calls are answered without their outcome. */
const PROCESS_ENDS = 'this process ends';
const CALLER_LEAVES = 'no answer within the time for which the caller waits';
const TOO_MANY_CALLS = 'too many calls are under way';

const NO_BODY = Buffer.alloc(0);

/** Share of the caller's wait for which a call may wait until an outdated configuration is confirmed. */
const CONFIRMATION_SHARE = 0.3;

const READ_METHOD = 'GET';
const SUBMISSION_METHOD = 'POST';

/** Delay of the event loop above which a probe is logged as late, in ms. */
const MIN_LATE_PROBE_MS = 200;

/** Whether an answer was of use to its caller. */
export enum AnswerTiming {
  InTime = 'in-time',
  /** The caller's wait had passed. */
  Late = 'late',
  /** The caller had closed the connection. */
  Abandoned = 'abandoned',
}

/** Why a process reports that it is not ready. */
enum UnreadyReason {
  Stopping = 'stopping',
  NoConfiguration = 'no-configuration',
  Outdated = 'outdated-configuration',
}

const READ_KINDS: ReadonlySet<ClientRequestKind | null> = new Set([
  ClientRequestKind.ReadState,
  ClientRequestKind.CountWaiting,
]);

/** A call that was answered. */
export type AnsweredCall = {
  readonly queue: string | null;
  readonly request: ClientRequestKind | null;
  readonly answer: AnswerKind;
  readonly timing: AnswerTiming;
  readonly tookMs: number;
};

/** Dependencies of the server and state of the process that it reports. */
export type IngressContext = {
  /** Connections of callers, and what they keep. */
  readonly connections: ConnectionTable;
  readonly protocol: ClientProtocol;
  readonly submissions: JobSubmissionService;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly getConfiguration: () => FleetConfiguration | null;
  /** Returns true while the configuration may have changed without this process knowing. */
  readonly isOutdated: () => boolean;
  /** Waits, at most for a time in ms, until the configuration is not outdated; returns false if it still is. */
  readonly waitUntilCurrent: (maxMs: number) => Promise<boolean>;
  readonly isStopping: () => boolean;
  /** Returns the longest delay of the event loop since it was asked for last, in ms. */
  readonly takeLoopDelayMs: () => number;
  readonly recordCall: (call: AnsweredCall) => void;
};

/** An answer, and what is known of its call. */
type CallOutcome = {
  readonly answer: Answer;
  readonly queue: QueueSettings | null;
  readonly kind: ClientRequestKind | null;
  readonly jobId: string | null;
};

/** What is read of a submission. */
type SubmittedBody = Pick<RawCall, 'body' | 'isTooLarge'>;

/** Creates the answer to a call whose outcome this process will not learn in time. */
function createEndedOutcome(mayHaveChanged: boolean, reason: string): CallOutcome {
  const answer: Answer = mayHaveChanged
    ? { kind: AnswerKind.UnknownOutcome, reason }
    : { kind: AnswerKind.Unavailable, reason, retryAfterMs: NO_CONFIGURATION_RETRY_AFTER_MS };
  return { answer, queue: null, kind: null, jobId: null };
}

function getTiming(isLate: boolean, isAbandoned: boolean): AnswerTiming {
  if (isAbandoned) {
    return AnswerTiming.Abandoned;
  }
  return isLate ? AnswerTiming.Late : AnswerTiming.InTime;
}

/** HTTP server for callers; answers every call with its outcome. */
export class IngressServer {
  readonly #context: IngressContext;

  /** Calls that wait for their answers; each ends its call. */
  readonly #waiting = new Set<(reason: string) => void>();

  #isEnding = false;

  /** What the last probe was told; `undefined` before the first. */
  #unreadyReason: UnreadyReason | null | undefined;

  #probedAtMs: number | null = null;

  constructor(context: IngressContext) {
    this.#context = context;
  }

  /** Builds the server for callers. The code that calls this starts listening and closes it. */
  buildCallerServer(): FastifyInstance {
    const server = Fastify({
      connectionTimeout: CONNECTION_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      http: REQUEST_HEADER_TIMEOUTS,
      exposeHeadRoutes: false,
      return503OnClosing: false,
      clientErrorHandler: answerClientError,
    });
    limitConnections(server.server, this.#context.connections);
    registerUnreadBodyParser(server);
    server.all('*', async (request, reply) => this.#handle(request, reply));
    return server;
  }

  /** Builds the server for the platform's readiness probe. */
  buildReadinessServer(): FastifyInstance {
    const server = Fastify({
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      http: REQUEST_HEADER_TIMEOUTS,
    });
    server.get(this.#context.protocol.readyPath, async (_request, reply) =>
      reply.code(this.#checkReadiness() ? HTTP_OK : HTTP_UNAVAILABLE).send(),
    );
    return server;
  }

  /** Answers all calls that wait, and later ones at once, because the process is about to end. */
  endCalls(): void {
    this.#isEnding = true;
    this.#waiting.forEach((end) => end(PROCESS_ENDS));
  }

  #findUnreadyReason(): UnreadyReason | null {
    if (this.#context.isStopping()) {
      return UnreadyReason.Stopping;
    }
    if (this.#context.getConfiguration() === null) {
      return UnreadyReason.NoConfiguration;
    }
    return this.#context.isOutdated() ? UnreadyReason.Outdated : null;
  }

  /** Decides the answer to a probe, and logs it if it changes or may be late. */
  #checkReadiness(): boolean {
    const { clock, logger } = this.#context;
    const reason = this.#findUnreadyReason();
    const isReady = reason === null;
    if (reason !== this.#unreadyReason) {
      this.#unreadyReason = reason;
      logger.recordInfo('readiness-changed', { isReady, reason });
    }
    const nowMs = clock.getNow();
    const sincePreviousMs = this.#probedAtMs === null ? null : Math.round(nowMs - this.#probedAtMs);
    this.#probedAtMs = nowMs;
    const loopDelayMs = Math.round(this.#context.takeLoopDelayMs());
    if (loopDelayMs > MIN_LATE_PROBE_MS) {
      logger.recordWarning('readiness-probe-late', { loopDelayMs, sincePreviousMs, isReady });
    }
    return isReady;
  }

  async #handle(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const { protocol } = this.#context;
    const [path = ''] = request.url.split('?');
    const head = {
      method: request.method,
      httpHost: (request.headers.host ?? '').replace(/:\d+$/, ''),
      path,
      key: protocol.findKey(request.headers),
      requestId: protocol.findRequestId(request.headers),
      waitMs: protocol.findWaitMs(request.headers),
    };
    const read = await this.#readSubmission(request.raw, head);
    if (read === null) {
      // The connection ended before the call was whole.
      return reply.hijack();
    }
    const startedAtMs = this.#context.clock.getNow();
    const call = { ...head, ...(read.ok ? read.value : { body: NO_BODY, isTooLarge: false }) };
    const outcome = read.ok ? await this.#answerWithin(request.raw, call) : read.error;
    const { status, headers, body } = protocol.formatAnswer(outcome.answer);
    this.#record(outcome, call, { startedAtMs, isAbandoned: reply.raw.destroyed });
    if (this.#context.isStopping()) {
      void reply.header('connection', 'close');
    }
    return reply.code(status).headers(headers).send(body);
  }

  #record(
    outcome: CallOutcome,
    { requestId, waitMs: sentWaitMs }: RawCall,
    { startedAtMs, isAbandoned }: { readonly startedAtMs: number; readonly isAbandoned: boolean },
  ): void {
    const { answer, kind, jobId } = outcome;
    const { logger, clock } = this.#context;
    const tookMs = Math.round(clock.getNow() - startedAtMs);
    const waitMs = sentWaitMs ?? DEFAULT_WAIT_MS;
    const queue = outcome.queue?.name ?? null;
    const timing = getTiming(tookMs > waitMs, isAbandoned);
    this.#context.recordCall({ queue, request: kind, answer: answer.kind, timing, tookMs });
    const call = { requestId, job: jobId, queue, request: kind, answer: answer.kind };
    if (READ_KINDS.has(kind) && timing !== AnswerTiming.InTime) {
      logger.recordWarning(isAbandoned ? 'call-abandoned' : 'call-answered-late', {
        ...call,
        tookMs,
        waitMs,
      });
    }
    const isRead = answer.kind === AnswerKind.State || answer.kind === AnswerKind.WaitingCount;
    if (!isRead) {
      logger.recordInfo('call-answered', {
        ...call,
        reason: 'reason' in answer ? answer.reason : null,
        retryAfterMs: 'retryAfterMs' in answer ? answer.retryAfterMs : null,
        problems: 'problems' in answer ? answer.problems.join('; ') : null,
        configuration: this.#context.getConfiguration()?.version ?? null,
        tookMs,
      });
    }
  }

  /**
   * Reads the body of a submission, once it is known that the submission has a queue and may use it. Other calls
   * need none. Returns `null` if the connection ends first.
   */
  async #readSubmission(
    request: IncomingMessage,
    head: Omit<RawCall, keyof SubmittedBody>,
  ): Promise<Result<SubmittedBody, CallOutcome> | null> {
    if (head.method !== SUBMISSION_METHOD) {
      return createOk({ body: NO_BODY, isTooLarge: false });
    }
    const configuration = this.#context.getConfiguration();
    const routed = routeCall(configuration, !this.#context.isOutdated(), head);
    if (!routed.ok) {
      return createError({ ...routed.error, kind: null, jobId: null });
    }
    const read = await readBody(request, configuration?.maxBodyBytes ?? 0);
    switch (read.end) {
      case BodyEnd.Whole:
        return createOk({ body: read.body, isTooLarge: false });
      case BodyEnd.TooLarge:
        return createOk({ body: NO_BODY, isTooLarge: true });
      default:
        return null;
    }
  }

  /** Answers a call, unless too many are under way. */
  async #answerWithin(request: IncomingMessage, call: RawCall): Promise<CallOutcome> {
    const endCall = this.#context.connections.startCall(findConnection(request), call.body.length);
    if (endCall === null) {
      return createEndedOutcome(call.method !== READ_METHOD, TOO_MANY_CALLS);
    }
    try {
      return await this.#answerBeforeEnd(call);
    } finally {
      endCall();
    }
  }

  async #answerBeforeEnd(call: RawCall): Promise<CallOutcome> {
    if (this.#isEnding) {
      // An earlier call for the same job may have changed what is stored.
      return createEndedOutcome(call.method !== READ_METHOD, PROCESS_ENDS);
    }
    const { clock } = this.#context;
    const waitMs = Math.min(call.waitMs ?? DEFAULT_WAIT_MS, MAX_WAIT_MS);
    const deadline = new Deadline(clock, waitMs - Math.min(ANSWER_RESERVE_MS, waitMs / 2));
    const open = new OpenCall(deadline);
    return new Promise((resolve, reject) => {
      const end = (reason: string): void => {
        open.recordAnswered();
        resolve(createEndedOutcome(open.mayHaveChanged, reason));
      };
      const cancelTimer = clock.startTimer(deadline.getRemainingMs(), () => end(CALLER_LEAVES));
      this.#waiting.add(end);
      this.#answer(call, open)
        .then(resolve, reject)
        .finally(() => {
          cancelTimer();
          this.#waiting.delete(end);
        });
    });
  }

  /**
   * Returns true once the configuration is known not to be outdated. Calls about jobs that were accepted before
   * wait for that; a submission is refused at once, because its caller may hand the job in elsewhere.
   */
  async #isCurrent({ method, waitMs }: RawCall, deadline: Deadline): Promise<boolean> {
    if (!this.#context.isOutdated()) {
      return true;
    }
    const maxMs = deadline.limit(CONFIRMATION_SHARE * (waitMs ?? DEFAULT_WAIT_MS));
    return method !== SUBMISSION_METHOD && this.#context.waitUntilCurrent(maxMs);
  }

  async #answer(call: RawCall, open: OpenCall): Promise<CallOutcome> {
    const { deadline } = open;
    const isCurrent = await this.#isCurrent(call, deadline);
    const routed = routeCall(this.#context.getConfiguration(), isCurrent, call);
    if (!routed.ok) {
      return { ...routed.error, kind: null, jobId: null };
    }
    const { queue, remainingPath, organisation } = routed.value;
    if (call.isTooLarge) {
      const jobId = this.#context.protocol.findJobId(remainingPath);
      const answer = await this.#context.submissions.refuseTooLarge(jobId, deadline);
      return { answer, queue, kind: ClientRequestKind.Submit, jobId };
    }
    const request = this.#context.protocol.parseRequest(call, queue, remainingPath);
    const jobId = 'jobId' in request ? request.jobId : null;
    const { kind } = request;
    switch (request.kind) {
      case ClientRequestKind.Submit: {
        const { spec } = request;
        const answer = await this.#context.submissions.submit(
          queue,
          organisation,
          request.jobId,
          spec,
          open,
        );
        return { answer, queue, kind, jobId };
      }
      case ClientRequestKind.ReadState:
        return {
          answer: await this.#context.submissions.readState(request.jobId, deadline),
          queue,
          kind,
          jobId,
        };
      case ClientRequestKind.Cancel:
        return {
          answer: await this.#context.submissions.cancel(request.jobId, open),
          queue,
          kind,
          jobId,
        };
      case ClientRequestKind.CountWaiting:
        return {
          answer: await this.#context.submissions.countWaiting(queue, deadline),
          queue,
          kind,
          jobId,
        };
      default:
        return {
          answer: { kind: AnswerKind.Invalid, problems: request.problems },
          queue,
          kind,
          jobId,
        };
    }
  }
}
