/** Reloads the TLS certificates of running servers when their files change. */
import type { Kernel } from '@baobabwell/kernel';
import type { Logger } from '@baobabwell/logging';
import type { CertificateFiles } from '@baobabwell/settings';
import type { Clock } from '@baobabwell/utils';
import type { FastifyInstance } from 'fastify';

import { readFile } from 'node:fs/promises';
import { createSecureContext, Server } from 'node:tls';

import { LOGGER } from './BaobabwellEntryTokens';

/** Interval between checks of the certificate files. */
const RELOAD_INTERVAL_MS = 10_000;

/** A certificate with its private key, in PEM. */
export type Credentials = { readonly cert: string; readonly key: string };

/** Reads a certificate and its key; rejects when they cannot be read or do not match. */
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

/** Dependencies of {@link CertificateReloader}. */
export type CertificateReloaderDependencies = {
  readonly files: CertificateFiles;
  readonly initial: Credentials;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Sets new credentials for a server; open connections keep their current ones. */
  readonly apply: (credentials: Credentials) => void;
};

/**
 * Polls certificate files and applies changes; invalid files are logged and leave the server
 * unchanged.
 */
export class CertificateReloader {
  readonly #dependencies: CertificateReloaderDependencies;

  readonly #stopped = new AbortController();

  #current: Credentials;

  constructor(dependencies: CertificateReloaderDependencies) {
    this.#dependencies = dependencies;
    this.#current = dependencies.initial;
  }

  /** Checks the files periodically until {@link stop} is called. */
  async run(): Promise<void> {
    while (!this.#stopped.signal.aborted) {
      await this.#dependencies.clock.wait(RELOAD_INTERVAL_MS, this.#stopped.signal);
      if (!this.#stopped.signal.aborted) {
        await this.update();
      }
    }
  }

  /** Checks the files once and applies changed credentials. Never rejects. */
  async update(): Promise<void> {
    const { files, logger, apply } = this.#dependencies;
    const { certificate } = files;
    try {
      const loaded = await readCredentials(files);
      if (loaded.cert !== this.#current.cert || loaded.key !== this.#current.key) {
        apply(loaded);
        this.#current = loaded;
        logger.recordInfo('certificate-reloaded', { certificate });
      }
    } catch (error) {
      logger.recordWarning('certificate-refused', { certificate, cause: (error as Error).message });
    }
  }

  /** Stops {@link run}. */
  stop(): void {
    this.#stopped.abort();
  }
}

/** Starts to reload the certificate of a listening server until the kernel closes. */
export function startCertificateReloader(
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
