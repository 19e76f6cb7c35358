/**
 * Runs the binary as a small fleet on loopback: a platform stand-in, a dozen workers and three
 * entries. Two teams send load while a host is drained and a key is withdrawn.
 */
import type { LoadCounts } from './deployment';

import { once } from 'node:events';
import { setTimeout as wait } from 'node:timers/promises';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { parseDuration } from '@baobabwell/settings';

import { LocalDeployment } from './deployment';
import { formatProgress } from './progress';

const ENTRIES = 3;
const WORKERS = 12;
const RATE_PER_TEAM = 60;
const TEAMS = ['schools', 'guilds'];
const WITHDRAWN_TEAM = 'guilds';
const PROGRESS_INTERVAL_MS = 1_000;
const BURN_REPORT_FILE = 'dist/burn.html';
const OUTCOME_COLUMNS: readonly (keyof LoadCounts)[] = [
  'calls',
  'completed',
  'notRun',
  'unknown',
  'lost',
  'wrongAnswer',
];

type DemoOptions = {
  readonly duration: string;
  readonly durationMs: number;
  readonly json: boolean;
  readonly stay: boolean;
};

/** Prints the progress of the demo, unless only the JSON summary is requested. */
class DemoReporter {
  readonly #isQuiet: boolean;

  readonly #startedAt = Date.now();

  constructor(isQuiet: boolean) {
    this.#isQuiet = isQuiet;
  }

  report(text: string): void {
    if (!this.#isQuiet) {
      console.log(text);
    }
  }

  reportWithTime(text: string): void {
    const seconds = ((Date.now() - this.#startedAt) / 1_000).toFixed(1);
    this.report(`${seconds.padStart(6)} s  ${text}`);
  }
}

function sumCounts(all: readonly LoadCounts[]): LoadCounts {
  const sums = OUTCOME_COLUMNS.map((name) => [
    name,
    all.reduce((sum, counts) => sum + counts[name], 0),
  ]);
  return Object.fromEntries(sums) as LoadCounts;
}

function listOperatorAddresses(deployment: LocalDeployment): readonly string[] {
  return Array.from({ length: ENTRIES }, (_, index) => deployment.getOperatorAddress(index));
}

async function reportProgress(
  deployment: LocalDeployment,
  reporter: DemoReporter,
  signal: AbortSignal,
): Promise<void> {
  const addresses = listOperatorAddresses(deployment);
  while (!signal.aborted) {
    reporter.reportWithTime(await formatProgress(addresses));
    await wait(PROGRESS_INTERVAL_MS, null, { signal }).catch(() => {});
  }
}

async function runOperation(
  deployment: LocalDeployment,
  reporter: DemoReporter,
  kind: 'query' | 'command',
  text: string,
): Promise<void> {
  reporter.reportWithTime(`${kind} '${text}'`);
  const output = await deployment.operate(kind, text);
  reporter.report(output.replace(/^/gm, '          '));
}

/** Drains a host and withdraws a key while the load runs. */
async function runOperations(
  deployment: LocalDeployment,
  reporter: DemoReporter,
  durationMs: number,
): Promise<void> {
  await wait(durationMs / 6);
  await runOperation(deployment, reporter, 'query', 'calls show entry, queue, team, host');
  await runOperation(deployment, reporter, 'command', 'drain host oven-1 reason "demonstration"');
  await wait(durationMs / 12);
  const withdrawal = `withdraw key key-${WITHDRAWN_TEAM} reason "demonstration"`;
  await runOperation(deployment, reporter, 'command', withdrawal);
}

function reportSummary(reporter: DemoReporter, byTeam: ReadonlyMap<string, LoadCounts>): void {
  reporter.report('\nResults of the calls as received by their callers:');
  const head = ['', ...OUTCOME_COLUMNS].map((name) => name.padStart(12)).join('');
  reporter.report(head);
  byTeam.forEach((counts, team) => {
    const cells = [team, ...OUTCOME_COLUMNS.map((name) => String(counts[name]))];
    reporter.report(cells.map((cell) => cell.padStart(12)).join(''));
  });
  reporter.report(`\nThe key of ${WITHDRAWN_TEAM} was withdrawn: its later calls were not run.`);
}

async function waitForInterrupt(
  deployment: LocalDeployment,
  reporter: DemoReporter,
): Promise<void> {
  reporter.report('\nThe fleet keeps running until Ctrl-C. In another shell:');
  reporter.report(`  export ENTRY=${deployment.getCallerAddress(0)}`);
  reporter.report(`  export BAOBABWELL_ADDRESS=${deployment.getOperatorAddress(0)}`);
  reporter.report(`  export BAOBABWELL_KEY=${deployment.getTeamSecret('schools')}`);
  reporter.report(`  export BAOBABWELL_OPERATOR_SECRET=${deployment.getOperatorSecret()}`);
  await once(process, 'SIGINT');
}

async function runLoads(
  deployment: LocalDeployment,
  reporter: DemoReporter,
  { duration, durationMs }: DemoOptions,
): Promise<ReadonlyMap<string, LoadCounts>> {
  const progressAbort = new AbortController();
  const progress = reportProgress(deployment, reporter, progressAbort.signal);
  const loads = TEAMS.map(async (team, index) =>
    deployment.runLoad({ team, rate: RATE_PER_TEAM, duration, seed: index + 1 }),
  );
  const [counts] = await Promise.all([
    Promise.all(loads),
    runOperations(deployment, reporter, durationMs),
  ]);
  progressAbort.abort();
  await progress;
  return new Map(TEAMS.map((team, index) => [team, counts[index] as LoadCounts]));
}

async function runDemo(options: DemoOptions): Promise<void> {
  const reporter = new DemoReporter(options.json);
  const deployment = new LocalDeployment({ entries: ENTRIES, workers: WORKERS, teams: TEAMS });
  try {
    reporter.report(`Starting ${ENTRIES} entries, ${WORKERS} workers and a platform stand-in.`);
    await deployment.start();
    reporter.reportWithTime(
      `ready; load from ${TEAMS.join(' and ')}, ${RATE_PER_TEAM} calls a second each`,
    );
    const byTeam = await runLoads(deployment, reporter, options);
    reportSummary(reporter, byTeam);
    reporter.report('\nService-level burn:');
    reporter.report(await deployment.reportBurn(BURN_REPORT_FILE));
    reporter.report(`Report with plots: ${BURN_REPORT_FILE}`);
    if (options.json) {
      const total = sumCounts([...byTeam.values()]);
      console.log(JSON.stringify({ ...total, entries: ENTRIES, workers: WORKERS }));
    } else if (options.stay) {
      await waitForInterrupt(deployment, reporter);
    }
  } finally {
    await deployment.close();
  }
}

function parseLoadDuration(text: string): number {
  const durationMs = parseDuration(text);
  if (durationMs === null) {
    throw new Error('--for must be a duration such as 5s');
  }
  return durationMs;
}

const options = await yargs(hideBin(process.argv))
  .option('for', { type: 'string', default: '12s', describe: 'How long to send load' })
  .option('json', { type: 'boolean', default: false, describe: 'Print one JSON object' })
  .option('stay', {
    type: 'boolean',
    default: false,
    describe: 'Keep the fleet running until Ctrl-C',
  })
  .strict()
  .parseAsync();
const { for: duration, json, stay } = options;
await runDemo({ duration, durationMs: parseLoadDuration(duration), json, stay });
