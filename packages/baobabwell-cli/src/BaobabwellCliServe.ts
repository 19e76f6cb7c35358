/** The command `serve`. */
import type { Settings } from '@baobabwell/settings';
import type { Argv } from 'yargs';

import { SystemClock } from '@baobabwell/utils';

import { ExitCode, getErrorMessage, writeErrorLine } from './BaobabwellCliExit';
import { loadSettings } from './BaobabwellCliSettings';

/** Waits until the process receives SIGTERM or SIGINT. */
export async function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}

function isIoUringEnabled(): boolean {
  const value = process.env['UV_USE_IO_URING'];
  return value !== undefined && value !== '0';
}

async function runEntry(settings: Settings, entry: Settings['entries'][number]): Promise<void> {
  const { buildEntry } = await import('@baobabwell/entry');
  const kernel = buildEntry(settings, entry, new SystemClock());
  const stopped = waitForStopSignal();
  let hasStarted = false;
  try {
    await Promise.race([
      kernel.start().then(() => {
        hasStarted = true;
      }),
      stopped,
    ]);
    await stopped;
  } catch (error) {
    writeErrorLine(`${entry.id} cannot start: ${getErrorMessage(error)}`);
  }
  const failures = await kernel.close();
  failures.forEach(({ name, cause }) => writeErrorLine(`${name}: ${getErrorMessage(cause)}`));
  const isClean = hasStarted && failures.length === 0;
  process.exitCode = isClean ? ExitCode.Success : ExitCode.Failure;
}

/** Runs one entry until the process receives SIGTERM or SIGINT. */
async function runServe(file: string, entryId: string): Promise<void> {
  if (isIoUringEnabled()) {
    writeErrorLine('UV_USE_IO_URING is set, but io_uring is not supported');
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
  await runEntry(settings, entry);
}

/** Adds the command `serve`. */
export function addServe(cli: Argv): Argv {
  return cli.command(
    'serve',
    'Run one entry',
    (command) =>
      command
        .option('settings', { type: 'string', demandOption: true, describe: 'Settings file' })
        .option('entry', { type: 'string', demandOption: true, describe: 'Entry to run' })
        .example('$0 serve --settings fleet.yaml --entry entry-1', 'Run the entry entry-1')
        .epilogue('SIGTERM stops the entry without interrupting running calls.'),
    async ({ settings, entry }) => runServe(settings, entry),
  );
}
