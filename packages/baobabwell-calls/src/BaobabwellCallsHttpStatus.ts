import { CallReason } from './BaobabwellCalls';

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_UNAUTHORIZED = 401;
const HTTP_FORBIDDEN = 403;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_TOO_LARGE = 413;
const HTTP_UNPROCESSABLE = 422;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_INTERNAL_ERROR = 500;
const HTTP_BAD_GATEWAY = 502;
const HTTP_UNAVAILABLE = 503;
const HTTP_GATEWAY_TIMEOUT = 504;

/** HTTP status of a result without an answer from a worker, by reason. */
export const STATUS_BY_REASON: Readonly<Record<CallReason, number>> = {
  [CallReason.Answered]: HTTP_OK,
  [CallReason.UnknownQueue]: HTTP_NOT_FOUND,
  [CallReason.KeyMissing]: HTTP_UNAUTHORIZED,
  [CallReason.KeyRefused]: HTTP_UNAUTHORIZED,
  [CallReason.TeamNotAllowed]: HTTP_FORBIDDEN,
  [CallReason.TargetLeaving]: HTTP_UNAVAILABLE,
  [CallReason.ViewStale]: HTTP_UNAVAILABLE,
  [CallReason.QueueFull]: HTTP_TOO_MANY_REQUESTS,
  [CallReason.Deadline]: HTTP_GATEWAY_TIMEOUT,
  [CallReason.Cancelled]: HTTP_UNAVAILABLE,
  [CallReason.NoHost]: HTTP_UNAVAILABLE,
  [CallReason.EntryStopping]: HTTP_UNAVAILABLE,
  [CallReason.WorkFailed]: HTTP_BAD_GATEWAY,
  [CallReason.AnswerLost]: HTTP_BAD_GATEWAY,
  [CallReason.WorkerRejected]: HTTP_BAD_GATEWAY,
  [CallReason.WorkerUnreachable]: HTTP_UNAVAILABLE,
  [CallReason.WorkParked]: HTTP_UNPROCESSABLE,
  [CallReason.StoreUnavailable]: HTTP_UNAVAILABLE,
  [CallReason.IdempotencyKeyReused]: HTTP_UNPROCESSABLE,
  [CallReason.IdempotencyKeyForeign]: HTTP_CONFLICT,
  [CallReason.InProgress]: HTTP_CONFLICT,
  [CallReason.OwnerLost]: HTTP_BAD_GATEWAY,
  [CallReason.BadRequest]: HTTP_BAD_REQUEST,
  [CallReason.NotFound]: HTTP_NOT_FOUND,
  [CallReason.BodyTooLarge]: HTTP_TOO_LARGE,
  [CallReason.InternalError]: HTTP_INTERNAL_ERROR,
};
