import type { JobSubmissionService } from './BaobabwellIngressJobSubmissionService';
import type { Answer, ClientProtocol, RawCall } from './BaobabwellIngressModel';
import type { FleetConfiguration, QueueSettings } from '@baobabwell/fleet';
import type { Logger } from '@baobabwell/logging';
import type { Clock } from '@baobabwell/utils';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';

import Fastify from 'fastify';

import { registerRawBodyParser, REQUEST_HEADER_TIMEOUTS } from '@baobabwell/http';

import { AnswerKind, ClientRequestKind } from './BaobabwellIngressModel';
import { findOrganisation, findQueue } from './BaobabwellIngressRouting';

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Retry delay sent to callers while this process has no configuration, or an outdated one, in ms. */
const NO_CONFIGURATION_RETRY_AFTER_MS = 1_000;

/** Maximum size of a body that the server reads before a configuration's limit applies, in bytes. */
const MAX_BODY_BYTES = 1_048_576;

/** Idle time after which a connection is closed, in ms; callers' pauses between calls are shorter. */
const KEEP_ALIVE_TIMEOUT_MS = 15_000;

/** Time limit for receiving a whole call, in ms. Callers wait only 3 seconds for an answer. */
const REQUEST_TIMEOUT_MS = 10_000;

/** A call that was answered. */
export type AnsweredCall = {
  readonly queue: string | null;
  readonly request: ClientRequestKind | null;
  readonly answer: AnswerKind;
  readonly tookMs: number;
};

/** Dependencies of the server and state of the process that it reports. */
export type IngressContext = {
  readonly protocol: ClientProtocol;
  readonly submissions: JobSubmissionService;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly getConfiguration: () => FleetConfiguration | null;
  /** Returns true while the configuration may have changed without this process knowing. */
  readonly isOutdated: () => boolean;
  readonly isReady: () => boolean;
  readonly isStopping: () => boolean;
  readonly recordCall: (call: AnsweredCall) => void;
};

/** An answer, and what is known of its call. */
type CallOutcome = {
  readonly answer: Answer;
  readonly queue: QueueSettings | null;
  readonly kind: ClientRequestKind | null;
  readonly jobId: string | null;
};

/** Creates the answer to a call whose outcome this process will not learn. */
function createEndedOutcome({ method }: RawCall): CallOutcome {
  const reason = 'this process ends';
  const answer: Answer =
    method === 'GET'
      ? { kind: AnswerKind.Unavailable, reason, retryAfterMs: NO_CONFIGURATION_RETRY_AFTER_MS }
      : { kind: AnswerKind.UnknownOutcome, reason };
  return { answer, queue: null, kind: null, jobId: null };
}

/** HTTP server for callers; answers every call with its outcome. */
export class IngressServer {
  readonly #context: IngressContext;

  /** Calls that wait for their answers; each ends its call. */
  readonly #waiting = new Set<() => void>();

  #isEnding = false;

  constructor(context: IngressContext) {
    this.#context = context;
  }

  /** Builds the server for callers. The code that calls this starts listening and closes it. */
  buildCallerServer(): FastifyInstance {
    const server = Fastify({
      bodyLimit: MAX_BODY_BYTES,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      http: REQUEST_HEADER_TIMEOUTS,
      exposeHeadRoutes: false,
      return503OnClosing: false,
    });
    registerRawBodyParser(server);
    server.all('*', async (request, reply) => this.#handle(request, reply));
    return server;
  }

  /** Builds the server for the platform's readiness probe. */
  buildReadinessServer(): FastifyInstance {
    const server = Fastify({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS });
    server.get(this.#context.protocol.readyPath, async (_request, reply) =>
      reply.code(this.#context.isReady() ? HTTP_OK : HTTP_UNAVAILABLE).send(),
    );
    return server;
  }

  /** Answers all calls that wait, and later ones at once, because the process is about to end. */
  endCalls(): void {
    this.#isEnding = true;
    this.#waiting.forEach((end) => end());
  }

  async #handle(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const startedAtMs = this.#context.clock.getNow();
    const { protocol } = this.#context;
    const [path = ''] = request.url.split('?');
    const call: RawCall = {
      method: request.method,
      httpHost: (request.headers.host ?? '').replace(/:\d+$/, ''),
      path,
      key: protocol.findKey(request.headers),
      requestId: protocol.findRequestId(request.headers),
      waitMs: protocol.findWaitMs(request.headers),
      body: Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0),
    };
    const { answer, queue, kind, jobId } = await this.#answerBeforeEnd(call);
    const { status, headers, body } = protocol.formatAnswer(answer);
    this.#record(answer, { queue, kind, jobId, requestId: call.requestId, startedAtMs });
    if (this.#context.isStopping()) {
      void reply.header('connection', 'close');
    }
    return reply.code(status).headers(headers).send(body);
  }

  #record(
    answer: Answer,
    call: {
      readonly queue: QueueSettings | null;
      readonly kind: ClientRequestKind | null;
      readonly jobId: string | null;
      readonly requestId: string | null;
      readonly startedAtMs: number;
    },
  ): void {
    const tookMs = Math.round(this.#context.clock.getNow() - call.startedAtMs);
    const queue = call.queue?.name ?? null;
    this.#context.recordCall({ queue, request: call.kind, answer: answer.kind, tookMs });
    const isRead = answer.kind === AnswerKind.State || answer.kind === AnswerKind.WaitingCount;
    if (!isRead) {
      this.#context.logger.recordInfo('call-answered', {
        requestId: call.requestId,
        job: call.jobId,
        queue,
        request: call.kind,
        answer: answer.kind,
        reason: 'reason' in answer ? answer.reason : null,
        retryAfterMs: 'retryAfterMs' in answer ? answer.retryAfterMs : null,
        problems: 'problems' in answer ? answer.problems.join('; ') : null,
        configuration: this.#context.getConfiguration()?.version ?? null,
        tookMs,
      });
    }
  }

  async #answerBeforeEnd(call: RawCall): Promise<CallOutcome> {
    if (this.#isEnding) {
      return createEndedOutcome(call);
    }
    return new Promise((resolve, reject) => {
      const end = (): void => resolve(createEndedOutcome(call));
      this.#waiting.add(end);
      this.#answer(call)
        .then(resolve, reject)
        .finally(() => this.#waiting.delete(end));
    });
  }

  async #answer(call: RawCall): Promise<CallOutcome> {
    const configuration = this.#context.getConfiguration();
    const none = { queue: null, kind: null, jobId: null };
    if (configuration === null || this.#context.isOutdated()) {
      const reason =
        configuration === null ? 'no configuration yet' : 'the configuration may be outdated';
      const retryAfterMs = NO_CONFIGURATION_RETRY_AFTER_MS;
      return { answer: { kind: AnswerKind.Unavailable, reason, retryAfterMs }, ...none };
    }
    const routed = findQueue(configuration.queues, call.httpHost, call.path);
    if (routed === null) {
      return { answer: { kind: AnswerKind.UnknownQueue }, ...none };
    }
    const { queue, remainingPath } = routed;
    const organisation = call.key === null ? null : findOrganisation(configuration, call.key);
    if (organisation === null && !queue.isOpen) {
      return { answer: { kind: AnswerKind.UnknownKey }, ...none, queue };
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
        );
        return { answer, queue, kind, jobId };
      }
      case ClientRequestKind.ReadState:
        return {
          answer: await this.#context.submissions.readState(request.jobId),
          queue,
          kind,
          jobId,
        };
      case ClientRequestKind.Cancel:
        return {
          answer: await this.#context.submissions.cancel(request.jobId),
          queue,
          kind,
          jobId,
        };
      case ClientRequestKind.CountWaiting:
        return {
          answer: await this.#context.submissions.countWaiting(queue.name),
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
