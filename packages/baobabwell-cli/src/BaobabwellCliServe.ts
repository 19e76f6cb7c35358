import { buildEntry } from '@baobabwell/entry';
import { SystemClock } from '@baobabwell/utils';

import { ExitCode, writeErrorLine } from './BaobabwellCliExit';
import { loadSettings } from './BaobabwellCliSettings';

/** Resolves when the process is asked to stop. */
export async function waitForStop(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}

function isIoUringOn(): boolean {
  const value = process.env['UV_USE_IO_URING'];
  return value !== undefined && value !== '0';
}

/** Runs one entry until the process is asked to stop. */
export async function runServe(file: string, entryId: string): Promise<void> {
  if (isIoUringOn()) {
    writeErrorLine('UV_USE_IO_URING is set: the system does not run with io_uring');
    process.exitCode = ExitCode.BadInput;
    return;
  }
  const settings = await loadSettings(file);
  if (settings === null) {
    return;
  }
  const entry = settings.entries.find(({ id }) => id === entryId);
  if (entry === undefined) {
    const known = settings.entries.map(({ id }) => id).join(', ');
    writeErrorLine(`${file}: there is no entry "${entryId}" (allowed: ${known})`);
    process.exitCode = ExitCode.BadInput;
    return;
  }
  const kernel = buildEntry(settings, entry, new SystemClock());
  const stopped = waitForStop();
  await kernel.start();
  await stopped;
  const failures = await kernel.close();
  failures.forEach(({ name, cause }) => writeErrorLine(`${name}: ${String(cause)}`));
  process.exitCode = failures.length > 0 ? ExitCode.Failure : ExitCode.Success;
}
