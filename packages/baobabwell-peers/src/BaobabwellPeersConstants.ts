/** Path under which an entry serves its peers. */
export const PEER_PATH = '/peers';

/** HTTP header that carries the secret shared by all entries. */
export const PEER_SECRET_HEADER = 'peer-secret';

/** Maximum duration of one peer request, or of each part of a large response, in ms. */
export const PEER_REQUEST_TIMEOUT_MS = 1_000;

/** Size of a response from which the timeout covers each of its parts, in bytes. */
export const LARGE_BODY_BYTES = 65_536;

/** Time from which the parts of a large response no longer extend its timeout, in ms. */
export const MAX_TRANSFER_MS = 20_000;

/** Maximum time for opening a connection to a peer. */
export const PEER_CONNECT_TIMEOUT_MS = 500;

/** Time after which an idle connection to a peer is closed, in ms; longer than the pauses between bursts. */
export const PEER_IDLE_TIMEOUT_MS = 20_000;

/**
 * Maximum number of connections to one peer; further requests wait for one of them. A server accepts one
 * connection in each turn of its event loop, so that a busy one accepts new connections late.
 */
export const MAX_CONNECTIONS_PER_PEER = 4;
