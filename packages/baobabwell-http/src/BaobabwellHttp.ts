import type { FastifyInstance } from 'fastify';

/** Options of a server under which half a head does not hold a connection, in ms. */
export const HEAD_LIMITS = {
  /** Time for a request's head: heads come in a packet or two, also from far away. */
  headersTimeout: 5_000,
  /** Pause between two searches for requests beyond their time; the default is half a minute. */
  connectionsCheckingInterval: 1_000,
};

/** Lets a server take every body as bytes, whatever type it claims. */
export function registerRawBodies(server: FastifyInstance): void {
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
    done(null, body);
  });
}
