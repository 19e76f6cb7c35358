/** Assembles the command line from its commands. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { ExitCode, getErrorMessage, writeErrorLine } from './BaobabwellCliExit';
import { addExplain } from './BaobabwellCliExplain';
import { addFleet } from './BaobabwellCliFleet';
import { addLoad } from './BaobabwellCliLoad';
import { addMeasure } from './BaobabwellCliMeasure';
import { addPrompt } from './BaobabwellCliPrompt';
import { addReport } from './BaobabwellCliReport';
import { addServe } from './BaobabwellCliServe';
import { addCheck } from './BaobabwellCliSettings';
import { addStandIns } from './BaobabwellCliStandIns';
import { addCommand, addQuery } from './BaobabwellCliStatements';
import { addVersion, VERSION } from './BaobabwellCliVersion';

const COMMANDS = [
  addServe,
  addCheck,
  addQuery,
  addCommand,
  addPrompt,
  addLoad,
  addStandIns,
  addReport,
  addExplain,
  addFleet,
  addMeasure,
  addVersion,
];
const HELP_COLUMNS = 100;

/** Thrown when the command line is invalid. */
class UsageError extends Error {
  override readonly name = 'UsageError';
}

/** Runs the command line. */
export async function runCli(argv: readonly string[]): Promise<void> {
  const base = yargs(hideBin([...argv]))
    .scriptName('baobabwell')
    .usage('$0 <command> [options]')
    .version(VERSION)
    .wrap(HELP_COLUMNS)
    .strictCommands()
    .strict()
    .demandCommand(1, 'name a command; --help lists them')
    .exitProcess(false)
    // Unless this handler throws, yargs still runs the command with the invalid options.
    .fail((message, error) => {
      throw message ? new UsageError(message) : error;
    });
  try {
    await COMMANDS.reduce((cli, add) => add(cli), base).parseAsync();
  } catch (error) {
    writeErrorLine(`baobabwell: ${getErrorMessage(error)}`);
    process.exitCode = error instanceof UsageError ? ExitCode.BadInput : ExitCode.Failure;
  }
}
