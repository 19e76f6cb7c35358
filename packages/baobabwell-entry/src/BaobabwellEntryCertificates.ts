/** Certificates of the servers, replaced while they run when their files change. */
import type { Kernel } from '@baobabwell/kernel';
import type { Logger } from '@baobabwell/logging';
import type { CertificateFiles } from '@baobabwell/settings';
import type { Clock } from '@baobabwell/utils';
import type { FastifyInstance } from 'fastify';

import { readFile } from 'node:fs/promises';
import { createSecureContext, Server } from 'node:tls';

import { LOGGER } from './BaobabwellEntryTokens';

/** Time between looks at the files. */
const RELOAD_INTERVAL_MS = 10_000;

/** A certificate with its private key, in PEM. */
export type Credentials = { readonly cert: string; readonly key: string };

/** Reads a certificate and its key; rejects when they cannot be read or do not fit together. */
export async function readCredentials({
  certificate,
  key,
}: CertificateFiles): Promise<Credentials> {
  const [certText, keyText] = await Promise.all([
    readFile(certificate, 'utf8'),
    readFile(key, 'utf8'),
  ]);
  const credentials = { cert: certText, key: keyText };
  createSecureContext(credentials);
  return credentials;
}

/** What a reloader works with. */
export type CertificateReloaderParts = {
  readonly files: CertificateFiles;
  readonly initial: Credentials;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Gives a server new credentials; open connections keep theirs. */
  readonly apply: (credentials: Credentials) => void;
};

/** Looks at certificate files and applies them when they changed; faulty files change nothing. */
export class CertificateReloader {
  readonly #parts: CertificateReloaderParts;

  readonly #stopped = new AbortController();

  #current: Credentials;

  constructor(parts: CertificateReloaderParts) {
    this.#parts = parts;
    this.#current = parts.initial;
  }

  /** Looks at the files at an interval until stopped. */
  async run(): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      await this.#parts.clock.wait(RELOAD_INTERVAL_MS, this.#stopped.signal);
      if (!this.#stopped.signal.aborted) {
        await this.update();
      }
    }
  }

  /** Looks at the files once. Never rejects. */
  async update(): Promise<void> {
    const { files, logger, apply } = this.#parts;
    const { certificate } = files;
    try {
      const found = await readCredentials(files);
      if (found.cert !== this.#current.cert || found.key !== this.#current.key) {
        apply(found);
        this.#current = found;
        logger.recordInfo('certificate-reloaded', { certificate });
      }
    } catch (error) {
      logger.recordWarning('certificate-refused', { certificate, cause: (error as Error).message });
    }
  }

  /** Ends {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }
}

/** Keeps the certificate of a listening server up to date for as long as the entry runs. */
export function startReloader(
  kernel: Kernel,
  server: FastifyInstance,
  files: CertificateFiles,
  initial: Credentials,
): void {
  const reloader = new CertificateReloader({
    files,
    initial,
    clock: kernel.clock,
    logger: kernel.getService(LOGGER),
    apply: (credentials) => {
      const { server: listener } = server as { server: unknown };
      if (listener instanceof Server) {
        listener.setSecureContext(credentials);
      }
    },
  });
  void reloader.run();
  kernel.lifecycle.add(`certificate ${files.certificate}`, () => reloader.stop());
}
