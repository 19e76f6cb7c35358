/** Path under which an entry serves its peers. */
export const PEER_PATH = '/peers';

/** Header that carries the secret which all entries share. */
export const PEER_SECRET_HEADER = 'peer-secret';

/** Longest time that one peer request may take. */
export const PEER_TIMEOUT_MS = 1_000;

/** Longest time that opening a connection to a peer may take. */
export const PEER_CONNECT_TIMEOUT_MS = 500;

/** Time after which an idle connection to a peer is closed. */
export const PEER_IDLE_MS = 4_000;
