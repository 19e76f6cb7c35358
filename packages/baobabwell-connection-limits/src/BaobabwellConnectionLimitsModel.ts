/** What is bounded over all clients of a server. */
export enum ClientLimit {
  Connections = 'connections',
  /** Calls whose answers are awaited, also those whose clients have left. */
  Calls = 'calls',
  /** Memory of headers, bodies and bytes that are not parsed yet. */
  Bytes = 'bytes',
}

/** Bounds of the sums over all clients; bytes in bytes. */
export type ClientLimits = Readonly<Record<ClientLimit, number>>;

/** What a machine gives to a process. */
export type ProcessResources = {
  readonly memoryBytes: number;
  readonly descriptors: number;
};

/** Learns when a bound is reached, and how much is used. */
export type ClientLimitObserver = {
  /** The bound is reached for the first time since it ended. */
  readonly recordStart: (limit: ClientLimit, max: number) => void;
  /** Less is used again; `count` is how often something gave way. */
  readonly recordEnd: (limit: ClientLimit, count: number) => void;
  /** Something gave way. */
  readonly recordReached: (limit: ClientLimit) => void;
};

const BYTES_PER_MB = 1_048_576;

/** Descriptors of the machine that are reserved for files. */
const FILE_DESCRIPTORS = 200;

/** Share of the other descriptors for clients; the rest is for the store, peers, workers and probes. */
const DESCRIPTOR_SHARE = 0.5;

/** Memory of an open connection with a call under way, in bytes. */
const CONNECTION_BYTES = 32_768;

/** Shares of the machine's memory for open connections, and for headers and bodies. */
const CONNECTIONS_SHARE = 0.125;
const BYTES_SHARE = 0.1;

/** Least bounds, which let a process serve single calls on any machine. */
const MIN_CONNECTIONS = 16;
const MIN_BYTES = 4 * BYTES_PER_MB;

/** Computes the bounds for the clients of one process. */
export function computeClientLimits({ memoryBytes, descriptors }: ProcessResources): ClientLimits {
  const byDescriptors = (descriptors - FILE_DESCRIPTORS) * DESCRIPTOR_SHARE;
  const byMemory = (memoryBytes * CONNECTIONS_SHARE) / CONNECTION_BYTES;
  const connections = Math.max(MIN_CONNECTIONS, Math.floor(Math.min(byDescriptors, byMemory)));
  return {
    [ClientLimit.Connections]: connections,
    [ClientLimit.Calls]: connections,
    [ClientLimit.Bytes]: Math.max(MIN_BYTES, Math.floor(memoryBytes * BYTES_SHARE)),
  };
}
