/** Runs one measure, or all, and prints the reports. */
import type { MeasureReport } from '@baobabwell/measures';

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { Deployment, MEASURES } from '@baobabwell/measures';

import { OverheadMeasure } from './overhead/OverheadMeasure';

/** OverheadMeasure is not part of the binary because the product never starts processes. */
const ALL_MEASURES = [new OverheadMeasure(), ...MEASURES];

function printReport(report: MeasureReport, isCompact: boolean): void {
  console.log(isCompact ? JSON.stringify(report) : JSON.stringify(report, null, 2));
}

const options = await yargs(hideBin(process.argv))
  .command('$0 <name>', 'Run a measure', (command) =>
    command.positional('name', {
      choices: ['all', ...ALL_MEASURES.map(({ name }) => name)],
      demandOption: true,
    }),
  )
  .option('deployment', {
    choices: Object.values(Deployment),
    default: Deployment.Braudvakt,
  })
  .option('seed', { type: 'number', default: 1 })
  .option('long', {
    type: 'boolean',
    default: false,
    describe: 'Allow a measure to take more than 25 s',
  })
  .option('json', { type: 'boolean', default: false, describe: 'Print one JSON object' })
  .strict()
  .parseAsync();

const measureOptions = {
  deployment: options.deployment,
  seed: options.seed,
  isLong: options.long,
};
const chosen = ALL_MEASURES.find(({ name }) => name === options['name']);
const measures = chosen === undefined ? ALL_MEASURES : [chosen];
const reports: MeasureReport[] = [];
for (const measure of measures) {
  reports.push(await measure.run(measureOptions));
}
const [first] = reports;
if (chosen !== undefined && first !== undefined) {
  printReport(first, options.json);
} else {
  console.log(JSON.stringify(reports, null, options.json ? 0 : 2));
}
