/** What clients send that don't keep to the limits. */
import { createJobBody, createJobId, KEY, PREFIX, QUEUE_HOST } from '../soak/site';

/** Size of a body that is within the limit of the configuration, in bytes. */
const LARGE_BODY_BYTES = 261_120;
const LARGE_CHUNK_BYTES = 65_536;
const LARGE_CHUNKS = 15;

/** Size that a client announces, and what it sends of it, in bytes. */
const ANNOUNCED_BYTES = 262_000;
const SENT_BYTES = 259_000;

const HUGE_BODY_BYTES = 2_000_000_000;
const REQUESTS_AHEAD = 20_000;
const EXTENSION_BYTES = 15_000;
const EXTENDED_CHUNKS = 4_000;
const BODIES_BEFORE_LAST = 9;
const UNROUTED_BODY_BYTES = 1_000_000;
const BODIES_AHEAD = 40;
const BODY_AHEAD_BYTES = 200_000;
const HEADER_LINES = 150;
const HEADER_VALUE_BYTES = 90;
const REOPENED_CHUNKS = 3;
const EMPTY_STEPS = 85_000;
const NESTED_BRACKETS = 260_000;
const LONG_WAIT_MS = 60_000;
const STEPS_OF_JOB = 20;

/** Kinds of crowds. */
export enum CrowdKind {
  SmallChunks = 'small-chunks',
  LargeChunks = 'large-chunks',
  AlmostWhole = 'almost-whole',
  Announced = 'announced',
  Endless = 'endless',
  ReadsAhead = 'reads-ahead',
  KeyedReadsAhead = 'keyed-reads-ahead',
  ChunkExtensions = 'chunk-extensions',
  UnroutedBodiesAhead = 'unrouted-bodies-ahead',
  BodiesAhead = 'bodies-ahead',
  OpenHeaders = 'open-headers',
  Silent = 'silent',
  ReopenedChunks = 'reopened-chunks',
  EmptySteps = 'empty-steps',
  NestedArrays = 'nested-arrays',
  AbandonedJobs = 'abandoned-jobs',
}

/** A crowd of clients that all do the same. */
export type Crowd = {
  /** Whether the clients take what they are sent. */
  readonly readsAnswers: boolean;
  /** Whether they open a new connection once one is closed. */
  readonly reopens: boolean;
  /** Whether they close their connection as soon as all is sent. */
  readonly leaves: boolean;
  /** Lists what is sent on one connection. */
  readonly listPieces: (number: number) => Iterable<string>;
};

const HOST_LINE = `host: ${QUEUE_HOST}`;
const KEY_LINE = `authorization: Bearer ${KEY}`;
const CHUNKED_LINE = 'transfer-encoding: chunked';

function formatHeader(start: string, lines: readonly string[]): string {
  return `${[`${start} HTTP/1.1`, HOST_LINE, ...lines].join('\r\n')}\r\n\r\n`;
}

function formatChunk(text: string, extension = ''): string {
  return `${text.length.toString(16)}${extension}\r\n${text}\r\n`;
}

function getJobPath(number: number): string {
  return `${PREFIX}${createJobId(number)}`;
}

function formatSubmission(number: number, lines: readonly string[]): string {
  return formatHeader(`POST ${getJobPath(number)}`, [KEY_LINE, ...lines]);
}

/** Creates what is sent of one chunked body, and no end of it. */
function* listChunks(number: number, size: number, count: number): Iterable<string> {
  yield formatSubmission(number, [CHUNKED_LINE]);
  const chunk = formatChunk('x'.repeat(size));
  const perPiece = Math.max(1, Math.floor(LARGE_CHUNK_BYTES / chunk.length));
  for (let sent = 0; sent < count; sent += perPiece) {
    yield chunk.repeat(Math.min(perPiece, count - sent));
  }
}

function* listWholeBody(number: number, body: string): Iterable<string> {
  yield formatSubmission(number, [`content-length: ${body.length}`]) + body;
}

function* listRequests(request: string, count: number): Iterable<string> {
  const perPiece = 500;
  for (let sent = 0; sent < count; sent += perPiece) {
    yield request.repeat(Math.min(perPiece, count - sent));
  }
}

function* listAnnounced(number: number): Iterable<string> {
  yield formatSubmission(number, [`content-length: ${ANNOUNCED_BYTES}`]);
  yield 'x'.repeat(SENT_BYTES);
}

function* listUnending(header: string): Iterable<string> {
  yield header;
  for (;;) {
    yield formatChunk('x'.repeat(LARGE_CHUNK_BYTES));
  }
}

function* listExtendedChunks(number: number): Iterable<string> {
  yield formatSubmission(number, [CHUNKED_LINE]);
  for (let sent = 0; sent < EXTENDED_CHUNKS; sent += 1) {
    yield formatChunk('x', `;${'e'.repeat(EXTENSION_BYTES)}`);
  }
}

function* listBodies(path: string, size: number, count: number): Iterable<string> {
  for (let sent = 0; sent < count; sent += 1) {
    yield formatHeader(`POST ${path}`, [`content-length: ${size}`]);
    yield 'x'.repeat(size);
  }
}

function* listUnroutedBodies(): Iterable<string> {
  const path = '/no-such-queue/0000000000000001';
  yield* listBodies(path, UNROUTED_BODY_BYTES, BODIES_BEFORE_LAST);
  yield formatHeader(`POST ${path}`, [`content-length: ${UNROUTED_BODY_BYTES}`]);
  yield 'x'.repeat(UNROUTED_BODY_BYTES - 1);
}

function* listOpenHeader(number: number): Iterable<string> {
  yield `POST ${getJobPath(number)} HTTP/1.1\r\n${HOST_LINE}\r\n`;
  for (let line = 0; line < HEADER_LINES; line += 1) {
    yield `x-${line}: ${'h'.repeat(HEADER_VALUE_BYTES)}\r\n`;
  }
}

function* listAnnouncedHuge(number: number): Iterable<string> {
  yield formatSubmission(number, [`content-length: ${HUGE_BODY_BYTES}`]);
  yield 'x'.repeat(LARGE_CHUNK_BYTES);
}

/** Creates a job of many steps that fits into a row; its caller says that it waits for a minute. */
function* listAbandonedJob(number: number): Iterable<string> {
  const { spec, steps } = JSON.parse(createJobBody(1, 1)) as {
    readonly spec: string;
    readonly steps: readonly unknown[];
  };
  const body = JSON.stringify({
    spec,
    steps: Array.from({ length: STEPS_OF_JOB }, () => steps[0]),
  });
  const lines = [`content-length: ${body.length}`, `baobabwell-request-deadline: ${LONG_WAIT_MS}`];
  yield formatSubmission(number, lines) + body;
}

const STAYS = { readsAnswers: true, reopens: false, leaves: false };
const UNREAD = { ...STAYS, readsAnswers: false };
const REOPENS = { ...STAYS, reopens: true };

const EMPTY_STEPS_BODY = JSON.stringify({ spec: '', steps: Array(EMPTY_STEPS).fill({}) });

/** What the clients of each kind of crowd do. */
export const CROWDS: Readonly<Record<CrowdKind, Crowd>> = {
  [CrowdKind.SmallChunks]: {
    ...STAYS,
    listPieces: (number) => listChunks(number, 1, LARGE_BODY_BYTES),
  },
  [CrowdKind.LargeChunks]: {
    ...STAYS,
    listPieces: (number) => listChunks(number, LARGE_CHUNK_BYTES, LARGE_CHUNKS),
  },
  [CrowdKind.AlmostWhole]: { ...STAYS, listPieces: listAnnounced },
  [CrowdKind.Announced]: { ...REOPENS, listPieces: listAnnouncedHuge },
  [CrowdKind.Endless]: {
    ...REOPENS,
    listPieces: (number) => listUnending(formatSubmission(number, [CHUNKED_LINE])),
  },
  [CrowdKind.ReadsAhead]: {
    ...UNREAD,
    listPieces: () => listRequests(formatHeader(`GET ${getJobPath(1)}`, []), REQUESTS_AHEAD),
  },
  [CrowdKind.KeyedReadsAhead]: {
    ...UNREAD,
    listPieces: () =>
      listRequests(formatHeader(`GET ${getJobPath(1)}`, [KEY_LINE]), REQUESTS_AHEAD),
  },
  [CrowdKind.ChunkExtensions]: { ...STAYS, listPieces: listExtendedChunks },
  [CrowdKind.UnroutedBodiesAhead]: { ...STAYS, listPieces: listUnroutedBodies },
  [CrowdKind.BodiesAhead]: {
    ...UNREAD,
    listPieces: (number) => listBodies(getJobPath(number), BODY_AHEAD_BYTES, BODIES_AHEAD),
  },
  [CrowdKind.OpenHeaders]: { ...REOPENS, listPieces: listOpenHeader },
  [CrowdKind.Silent]: { ...REOPENS, listPieces: () => [] },
  [CrowdKind.ReopenedChunks]: {
    ...REOPENS,
    listPieces: (number) => listChunks(number, LARGE_CHUNK_BYTES, REOPENED_CHUNKS),
  },
  [CrowdKind.EmptySteps]: {
    ...REOPENS,
    listPieces: (number) => listWholeBody(number, EMPTY_STEPS_BODY),
  },
  [CrowdKind.NestedArrays]: {
    ...REOPENS,
    listPieces: (number) => listWholeBody(number, '['.repeat(NESTED_BRACKETS)),
  },
  [CrowdKind.AbandonedJobs]: {
    ...REOPENS,
    leaves: true,
    listPieces: listAbandonedJob,
  },
};
