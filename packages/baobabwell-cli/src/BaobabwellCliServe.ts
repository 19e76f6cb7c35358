/** The command `serve`. */
import type { Settings } from '@baobabwell/settings';
import type { Argv } from 'yargs';

import { SystemClock } from '@baobabwell/utils';

import { ExitCode, getMessage, writeErrorLine } from './BaobabwellCliExit';
import { openSettings } from './BaobabwellCliSettings';

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

async function runEntry(settings: Settings, entry: Settings['entries'][number]): Promise<void> {
  const { buildEntry } = await import('@baobabwell/entry');
  const kernel = buildEntry(settings, entry, new SystemClock());
  const stopped = waitForStop();
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
    writeErrorLine(`${entry.id} cannot start: ${getMessage(error)}`);
  }
  const failures = await kernel.close();
  failures.forEach(({ name, cause }) => writeErrorLine(`${name}: ${getMessage(cause)}`));
  const isClean = hasStarted && failures.length === 0;
  process.exitCode = isClean ? ExitCode.Success : ExitCode.Failure;
}

/** Runs one entry until the process is asked to stop. */
async function runServe(file: string, entryId: string): Promise<void> {
  if (isIoUringOn()) {
    writeErrorLine('UV_USE_IO_URING is set: the system does not run with io_uring');
    process.exitCode = ExitCode.BadInput;
    return;
  }
  const settings = await openSettings(file);
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
        .epilogue('SIGTERM stops the entry without cutting a call.'),
    async ({ settings, entry }) => runServe(settings, entry),
  );
}
