/** The command `load`. */
import type { LoadCounts } from '@baobabwell/load';
import type { Argv } from 'yargs';

import { SystemClock } from '@baobabwell/utils';

import { ExitCode, writeLine } from './BaobabwellCliExit';
import {
  createDurationOption,
  createNumberOption,
  getCallerKey,
  JSON_OPTION,
  SEED_OPTION,
} from './BaobabwellCliOptions';

type LoadOptions = {
  readonly address: readonly string[];
  readonly queue: string;
  readonly rate: number;
  readonly durationMs: number;
  readonly runMs: number;
  readonly seed: number;
  readonly json: boolean;
};

function formatCounts(counts: LoadCounts): string {
  return Object.entries(counts)
    .map(([name, value]) => `${name} ${value}`)
    .join('\n');
}

async function runLoadCommand(options: LoadOptions): Promise<void> {
  const { runLoad } = await import('@baobabwell/load');
  const counts = await runLoad({
    clock: new SystemClock(),
    addresses: options.address,
    queue: options.queue,
    secret: getCallerKey(),
    ratePerSecond: options.rate,
    durationMs: options.durationMs,
    runMs: options.runMs,
    isRepeatable: true,
    seed: options.seed,
  });
  writeLine(options.json ? JSON.stringify(counts) : formatCounts(counts));
  process.exitCode = ExitCode.Success;
}

/** Adds the command `load`. */
export function addLoad(cli: Argv): Argv {
  return cli.command(
    'load',
    'Send calls at a steady rate and count their outcomes',
    (command) =>
      command
        .option('address', {
          type: 'string',
          array: true,
          demandOption: true,
          describe: 'Caller addresses of entries',
        })
        .option('queue', { type: 'string', demandOption: true, describe: 'Queue to call' })
        .option('rate', {
          ...createNumberOption('rate', 'Calls per second', { moreThan: 0 }),
          default: 100,
        })
        .option('for', createDurationOption('for', 'How long to send calls', '5s'))
        .option('run', createDurationOption('run', 'Run time of each call', '20ms'))
        .option('seed', SEED_OPTION)
        .option('json', JSON_OPTION)
        .example(
          '$0 load --address 127.0.0.1:8001 --queue enrolments --rate 50 --for 10s',
          'Send 50 calls per second to the queue',
        )
        .epilogue('The key of the caller is read from BAOBABWELL_KEY.'),
    async (options) =>
      runLoadCommand({
        ...options,
        durationMs: options.for as unknown as number,
        runMs: options.run as unknown as number,
      }),
  );
}
