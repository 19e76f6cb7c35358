import type { FastifyInstance } from 'fastify';

/** Server options, in ms, that close connections on which a request header stays incomplete. */
export const REQUEST_HEADER_TIMEOUTS = {
  /** Time limit for a request header; even from far away, it arrives in one or two packets. */
  headersTimeout: 5_000,
  /** Interval between two checks for requests past their limit; Node.js defaults to 30 seconds. */
  connectionsCheckingInterval: 1_000,
};

/** Registers a parser that leaves every request body to the handler, whatever its content type. */
export function registerUnreadBodyParser(server: FastifyInstance): void {
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', (_request, _body, done) => {
    done(null);
  });
}

/** Registers a parser that reads every request body as a buffer, whatever its content type. */
export function registerRawBodyParser(server: FastifyInstance): void {
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
    done(null, body);
  });
}
