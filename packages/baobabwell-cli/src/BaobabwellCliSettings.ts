/** The command `check`, and loading of settings for other commands. */
import type { Settings } from '@baobabwell/settings';
import type { Finding } from '@baobabwell/utils';
import type { Argv } from 'yargs';

import { readSettings } from '@baobabwell/settings';
import { formatFinding } from '@baobabwell/utils';

import { ExitCode, writeErrorLine, writeLine } from './BaobabwellCliExit';
import { JSON_OPTION } from './BaobabwellCliOptions';

function writeFindings(findings: readonly Finding[], file: string): void {
  findings.forEach((finding) => writeErrorLine(formatFinding(finding)));
  writeErrorLine(`${file}: ${findings.length} finding${findings.length === 1 ? '' : 's'}`);
}

/** Loads settings; if there are findings, prints them, sets the exit code and returns `null`. */
export async function loadSettings(file: string): Promise<Settings | null> {
  const read = await readSettings(file);
  if (read.ok) {
    return read.value;
  }
  writeFindings(read.error, file);
  process.exitCode = ExitCode.BadInput;
  return null;
}

async function runCheck(file: string, json: boolean): Promise<void> {
  const read = await readSettings(file);
  const findings = read.ok ? [] : read.error;
  if (json) {
    writeLine(JSON.stringify({ file, findings }));
  } else if (read.ok) {
    writeLine(`${file}: no findings`);
  } else {
    writeFindings(findings, file);
  }
  process.exitCode = read.ok ? ExitCode.Success : ExitCode.BadInput;
}

/** Adds the command `check`. */
export function addCheck(cli: Argv): Argv {
  return cli.command(
    'check <file>',
    'Report all problems in a settings file',
    (command) =>
      command
        .positional('file', { type: 'string', demandOption: true, describe: 'Settings file' })
        .option('json', JSON_OPTION)
        .example('$0 check fleet.yaml', 'List every finding with its line and the allowed values')
        .example('$0 check fleet.yaml --json', 'Print the findings as JSON'),
    async ({ file, json }) => runCheck(file, json),
  );
}
