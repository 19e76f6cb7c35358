import type { Argv } from 'yargs';

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { ExitCode, writeErrorLine } from './BaobabwellCliExit';
import { runLoadCommand } from './BaobabwellCliLoad';
import { runServe } from './BaobabwellCliServe';
import { runCheck } from './BaobabwellCliSettings';
import { runStandInPlatform, runStandInWorkers } from './BaobabwellCliStandIns';
import { runStatement } from './BaobabwellCliStatements';
import { VERSION } from './BaobabwellCliVersion';

const DEFAULT_SLOTS = 8;

function addServe(cli: Argv): Argv {
  return cli.command(
    'serve',
    'Run one entry',
    (command) =>
      command
        .option('settings', { type: 'string', demandOption: true, describe: 'Settings file' })
        .option('entry', { type: 'string', demandOption: true, describe: 'Entry to run' })
        .example('$0 serve --settings fleet.yaml --entry entry-1', 'Run the entry entry-1'),
    async ({ settings, entry }) => runServe(settings, entry),
  );
}

function addCheck(cli: Argv): Argv {
  return cli.command(
    'check <file>',
    'Report everything that is wrong with a settings file',
    (command) =>
      command
        .positional('file', { type: 'string', demandOption: true })
        .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
        .example('$0 check fleet.yaml', 'List every finding with its line and what is allowed'),
    async ({ file, json }) => runCheck(file, json),
  );
}

function addStatement(cli: Argv, name: 'query' | 'command', description: string): Argv {
  return cli.command(
    `${name} <text..>`,
    description,
    (command) =>
      command
        .positional('text', { type: 'string', array: true, demandOption: true })
        .option('address', {
          type: 'string',
          default: '127.0.0.1:8100',
          describe: 'Operator address of any entry',
        })
        .option('json', { type: 'boolean', default: false, describe: 'Print JSON' }),
    async ({ text, address, json }) =>
      runStatement(text.join(' '), {
        address,
        secret: process.env['BAOBABWELL_OPERATOR_SECRET'] ?? '',
        json,
      }),
  );
}

function addStandIns(cli: Argv): Argv {
  return cli.command('stand-in <what>', 'Run a stand-in for tests and demonstrations', (command) =>
    command
      .command(
        'platform',
        'Run the table service, object store and host list',
        (options) =>
          options
            .option('port', { type: 'number', demandOption: true })
            .option('seed', { type: 'number', default: 1 }),
        async ({ port, seed }) => runStandInPlatform(port, seed),
      )
      .command(
        'worker',
        'Run workers on successive ports',
        (options) =>
          options
            .option('port', { type: 'number', demandOption: true })
            .option('count', { type: 'number', default: 1 })
            .option('slots', { type: 'number', default: DEFAULT_SLOTS }),
        async ({ port, count, slots }) => runStandInWorkers(port, count, slots),
      )
      .demandCommand(1),
  );
}

function addLoad(cli: Argv): Argv {
  return cli.command(
    'load',
    'Send calls at a steady rate and count their outcomes',
    (command) =>
      command
        .option('address', { type: 'string', array: true, demandOption: true })
        .option('queue', { type: 'string', demandOption: true })
        .option('rate', { type: 'number', default: 100, describe: 'Calls a second' })
        .option('for', { type: 'string', default: '5s', describe: 'Duration' })
        .option('run', { type: 'string', default: '20ms', describe: 'Run time of the work' })
        .option('seed', { type: 'number', default: 1 })
        .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
        .example(
          '$0 load --address 127.0.0.1:8001 --queue enrolments --rate 50 --for 10s',
          'Call the queue 50 times a second; the key is read from BAOBABWELL_KEY',
        ),
    async (options) => runLoadCommand({ ...options, duration: options.for }),
  );
}

/** Runs the command line. */
export async function runCli(argv: readonly string[]): Promise<void> {
  let cli = yargs(hideBin([...argv]))
    .scriptName('baobabwell')
    .version(VERSION)
    .strict()
    .demandCommand(1, 'name a command')
    .exitProcess(false)
    .fail((message, error) => {
      writeErrorLine(message || String(error));
      process.exitCode = message ? ExitCode.BadInput : ExitCode.Failure;
    });
  cli = addServe(cli);
  cli = addCheck(cli);
  cli = addStatement(cli, 'query', 'Ask about the fleet');
  cli = addStatement(cli, 'command', 'Change the fleet');
  cli = addLoad(cli);
  cli = addStandIns(cli);
  await cli.parseAsync();
}
