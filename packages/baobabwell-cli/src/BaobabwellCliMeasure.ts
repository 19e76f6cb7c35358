/** The command `measure`. */
import type { Deployment } from '@baobabwell/measures';
import type { Argv } from 'yargs';

import { ExitCode, writeErrorLine, writeLine } from './BaobabwellCliExit';
import { JSON_OPTION, SEED_OPTION } from './BaobabwellCliOptions';

const ALL_MEASURES = 'all';
const JSON_INDENT = 2;

type MeasureCommandOptions = {
  readonly name: string;
  readonly deployment: string;
  readonly seed: number;
  readonly long: boolean;
  readonly json: boolean;
};

async function runMeasure(options: MeasureCommandOptions): Promise<void> {
  const { findMeasure, MEASURES } = await import('@baobabwell/measures');
  const chosen = findMeasure(options.name);
  if (chosen === null && options.name !== ALL_MEASURES) {
    const known = [ALL_MEASURES, ...MEASURES.map(({ name }) => name)].join(', ');
    writeErrorLine(`there is no measure "${options.name}" (allowed: ${known})`);
    process.exitCode = ExitCode.BadInput;
    return;
  }
  const reports = [];
  for (const measure of chosen === null ? MEASURES : [chosen]) {
    const { seed, deployment, long } = options;
    reports.push(await measure.run({ deployment: deployment as Deployment, seed, isLong: long }));
  }
  const report = chosen === null ? reports : reports[0];
  writeLine(JSON.stringify(report, null, options.json ? 0 : JSON_INDENT));
}

/** Adds the command `measure`. */
export function addMeasure(cli: Argv): Argv {
  return cli.command(
    'measure <name>',
    'Run one measurement of the product, or all',
    (command) =>
      command
        .positional('name', {
          type: 'string',
          demandOption: true,
          describe: 'Name of the measure, or all',
        })
        .option('deployment', {
          choices: ['braudvakt', 'agenda'],
          default: 'braudvakt',
          describe: 'Deployment to emulate',
        })
        .option('seed', SEED_OPTION)
        .option('long', {
          type: 'boolean',
          default: false,
          describe: 'Allow a run time above 25 s',
        })
        .option('json', JSON_OPTION)
        .example('$0 measure view --seed 1 --json', 'Measure the time until changes are in force'),
    async (options) => runMeasure(options),
  );
}
