import type { CallService } from '@baobabwell/calls';
import type { AddressInfo } from 'node:net';
import type { Server } from 'node:tls';

import { expect } from 'earl';
import { copyFile, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { connect } from 'node:tls';

import { buildCallServer } from '@baobabwell/calls';
import { Logger, LogLevel } from '@baobabwell/logging';
import { SystemClock } from '@baobabwell/utils';

import { CertificateReloader, readCredentials } from '../../BaobabwellEntryCertificates';

const FIXTURES = 'packages/baobabwell-entry/src/__tests__/fixtures';
const LOOPBACK = '127.0.0.1';

/**
 * Connects with trust in both test certificates and returns the common name in the server's
 * certificate.
 */
async function readShownName(port: number): Promise<string> {
  const ca = await Promise.all(
    ['first', 'second'].map(async (name) => readFile(join(FIXTURES, `${name}.crt`), 'utf8')),
  );
  return new Promise((resolve, reject) => {
    const socket = connect({ host: LOOPBACK, port, ca }, () => {
      resolve(String(socket.getPeerCertificate().subject.CN));
      socket.destroy();
    });
    socket.once('error', reject);
  });
}

describe('CertificateReloader', () => {
  let folder: string;
  let lines: string[];

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'baobabwell-tls-'));
    lines = [];
  });

  afterEach(async () => rm(folder, { recursive: true }));

  async function copyPair(name: string): Promise<void> {
    await copyFile(join(FIXTURES, `${name}.crt`), join(folder, 'server.crt'));
    await copyFile(join(FIXTURES, `${name}.key`), join(folder, 'server.key'));
  }

  it('replaces the certificate of a running server, and keeps it when the files are invalid', async () => {
    const files = { certificate: join(folder, 'server.crt'), key: join(folder, 'server.key') };
    await copyPair('first');
    const initial = await readCredentials(files);
    const server = buildCallServer({} as CallService, () => {}, initial);
    await server.listen({ host: LOOPBACK, port: 0 });
    const { port } = server.server.address() as AddressInfo;
    const reloader = new CertificateReloader({
      files,
      initial,
      clock: new SystemClock(),
      logger: new Logger(LogLevel.Info, {}, (line) => lines.push(line)),
      apply: (credentials) => (server.server as unknown as Server).setSecureContext(credentials),
    });
    const shown = [await readShownName(port)];
    await reloader.update();
    await copyPair('second');
    await reloader.update();
    shown.push(await readShownName(port));
    await writeFile(files.key, 'not a key');
    await reloader.update();
    await copyFile(join(FIXTURES, 'first.key'), files.key);
    await reloader.update();
    shown.push(await readShownName(port));
    await server.close();
    expect(shown).toEqual(['first', 'second', 'second']);
    const events = lines.map((line) => /event=(\S+)/.exec(line)?.[1]);
    expect(events).toEqual(['certificate-reloaded', 'certificate-refused', 'certificate-refused']);
    expect(lines.some((line) => line.includes('PRIVATE KEY'))).toEqual(false);
  });
});
