/** Reaches the operator server of an entry. */
import type { OperatorReply } from '@baobabwell/operations';
import type { Result } from '@baobabwell/utils';

import { readFile } from 'node:fs/promises';
import { Agent, request } from 'undici';
import { z } from 'zod';

import { createError, createOk } from '@baobabwell/utils';

import { getMessage } from './BaobabwellCliExit';

const HTTP_OK = 200;
const HTTP_UNAUTHORIZED = 401;
const REQUEST_TIMEOUT_MS = 30_000;

const completionsSchema = z.object({
  completions: z.array(z.object({ text: z.string(), column: z.number() })),
});

/** A word that may stand at the end of a text. */
export type Completion = z.infer<typeof completionsSchema>['completions'][number];

/** Why there is no reply. */
export type OperatorFailure =
  | { readonly kind: 'unreachable'; readonly message: string }
  | { readonly kind: 'unauthorized' }
  | { readonly kind: 'status'; readonly status: number };

/** Where and as whom statements are sent. */
export type OperatorTarget = {
  /** `host:port` or `https://host:port` of an entry's operator server. */
  readonly address: string;
  readonly secret: string;
  /** File with the certificate authority, or `null`. */
  readonly authorityFile: string | null;
};

/** Formats why there is no reply. */
export function formatFailure(failure: OperatorFailure, address: string): string {
  switch (failure.kind) {
    case 'unreachable':
      return `${address}: ${failure.message}`;
    case 'unauthorized':
      return `${address}: the operator is not known; set BAOBABWELL_OPERATOR_SECRET`;
    case 'status':
      return `${address}: refused with status ${failure.status}`;
  }
}

/** Builds the URL of an address; addresses without a scheme are reached over plain HTTP. */
export function buildUrl(address: string): string {
  return address.includes('://') ? address : `http://${address}`;
}

/** Opens connections that trust an additional certificate authority. */
export async function openAgent(authorityFile: string | null): Promise<Agent> {
  return authorityFile === null
    ? new Agent()
    : new Agent({ connect: { ca: await readFile(authorityFile, 'utf8') } });
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
    return new OperatorClient(target, await openAgent(target.authorityFile));
  }

  /**
   * Sends one statement.
   *
   * @param seenVersion version of the fleet that the operator saw last, or `null`.
   */
  async send(
    text: string,
    seenVersion: number | null = null,
  ): Promise<Result<OperatorReply, OperatorFailure>> {
    const body = JSON.stringify({ text, ...(seenVersion === null ? {} : { seenVersion }) });
    const reply = await this.#request('POST', '/v1/statements', body);
    return reply.ok ? createOk(reply.value as OperatorReply) : reply;
  }

  /** Lists what may complete a text; empty when the entry does not say. */
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
      return createError({ kind: 'unreachable', message: getMessage(error) });
    }
  }
}
