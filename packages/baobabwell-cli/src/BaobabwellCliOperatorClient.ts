/** HTTP client of the operator server of an entry. */
import type { OperatorReply } from '@baobabwell/operations';
import type { Result } from '@baobabwell/utils';

import { readFile } from 'node:fs/promises';
import { Agent, request } from 'undici';
import { z } from 'zod';

import { createError, createOk } from '@baobabwell/utils';

import { getErrorMessage } from './BaobabwellCliExit';

const HTTP_OK = 200;
const HTTP_UNAUTHORIZED = 401;
const REQUEST_TIMEOUT_MS = 30_000;

const completionsSchema = z.object({
  completions: z.array(z.object({ text: z.string(), column: z.number() })),
});

/** A word that completes a text, and the column, counted from one, where it starts. */
export type Completion = z.infer<typeof completionsSchema>['completions'][number];

/** Reason why a request failed. */
export type OperatorFailure =
  | { readonly kind: 'unreachable'; readonly message: string }
  | { readonly kind: 'unauthorized' }
  | { readonly kind: 'status'; readonly status: number };

/** Entry that receives the statements, and the credentials of the operator. */
export type OperatorTarget = {
  /** `host:port` or `https://host:port` of an entry's operator server. */
  readonly address: string;
  readonly secret: string;
  /** PEM file of the certificate authority, or `null` for the default authorities. */
  readonly caFile: string | null;
};

/** Formats the reason of a failed request for users. */
export function formatFailure(failure: OperatorFailure, address: string): string {
  switch (failure.kind) {
    case 'unreachable':
      return `${address}: ${failure.message}`;
    case 'unauthorized':
      return `${address}: authentication failed; set BAOBABWELL_OPERATOR_SECRET`;
    case 'status':
      return `${address}: refused with status ${failure.status}`;
  }
}

/** Builds the URL of an address; an address without a scheme uses plain HTTP. */
export function buildUrl(address: string): string {
  return address.includes('://') ? address : `http://${address}`;
}

/** Opens an HTTP agent; `caFile`, if given, replaces the default certificate authorities. */
export async function openAgent(caFile: string | null): Promise<Agent> {
  return caFile === null
    ? new Agent()
    : new Agent({ connect: { ca: await readFile(caFile, 'utf8') } });
}

/** Sends statements to one entry as one operator. */
export class OperatorClient {
  readonly #target: OperatorTarget;

  readonly #agent: Agent;

  private constructor(target: OperatorTarget, agent: Agent) {
    this.#target = target;
    this.#agent = agent;
  }

  /** Opens a client; rejects when the certificate authority cannot be read. */
  static async open(target: OperatorTarget): Promise<OperatorClient> {
    return new OperatorClient(target, await openAgent(target.caFile));
  }

  /**
   * Sends one statement.
   *
   * @param seenVersion latest version of the fleet that the operator has seen, or `null`.
   */
  async send(
    text: string,
    seenVersion: number | null = null,
  ): Promise<Result<OperatorReply, OperatorFailure>> {
    const body = JSON.stringify({ text, ...(seenVersion === null ? {} : { seenVersion }) });
    const reply = await this.#request('POST', '/v1/statements', body);
    return reply.ok ? createOk(reply.value as OperatorReply) : reply;
  }

  /** Lists the completions of a text; returns an empty list when the request fails. */
  async listCompletions(text: string): Promise<readonly Completion[]> {
    const reply = await this.#request('GET', `/v1/completions?text=${encodeURIComponent(text)}`);
    const parsed = completionsSchema.safeParse(reply.ok ? reply.value : null);
    return parsed.data?.completions ?? [];
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.close();
  }

  async #request(
    method: 'GET' | 'POST',
    path: string,
    body: string | null = null,
  ): Promise<Result<unknown, OperatorFailure>> {
    try {
      const reply = await request(`${buildUrl(this.#target.address)}${path}`, {
        method,
        dispatcher: this.#agent,
        headers: {
          authorization: `Bearer ${this.#target.secret}`,
          ...(body === null ? {} : { 'content-type': 'application/json' }),
        },
        body,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const value = await reply.body.json();
      if (reply.statusCode === HTTP_UNAUTHORIZED) {
        return createError({ kind: 'unauthorized' });
      }
      return reply.statusCode === HTTP_OK
        ? createOk(value)
        : createError({ kind: 'status', status: reply.statusCode });
    } catch (error) {
      return createError({ kind: 'unreachable', message: getErrorMessage(error) });
    }
  }
}
