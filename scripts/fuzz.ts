/** Runs one fuzz suite. If an invariant is violated, prints the shrunk history and exits with 1. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { findFuzzSuite, FUZZ_SUITES } from '@baobabwell/fuzz';

const { suite, seed, runs } = await yargs(hideBin(process.argv))
  .option('suite', { choices: FUZZ_SUITES.map(({ name }) => name), demandOption: true })
  .option('seed', { type: 'number', default: 1 })
  .option('runs', { type: 'number', default: 100 })
  .strict()
  .parseAsync();

const report = await findFuzzSuite(suite as string)?.run({ seed, runs });
if (report?.hasPassed) {
  console.log(`${report.suite}: ${report.runs} runs passed (seed ${seed})`);
} else {
  console.log(report?.failure);
  console.log(`reproduce with: npm run fuzz -- --suite ${suite} --seed ${seed} --runs ${runs}`);
  process.exitCode = 1;
}
