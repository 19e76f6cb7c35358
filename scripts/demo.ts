/**
 * Runs the binary as a small fleet on loopback: a platform stand-in, a dozen workers, three
 * entries and load from two teams, while a host is drained and a key is withdrawn.
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
const BURN_PAGE = 'dist/burn.html';
const COUNT_NAMES: readonly (keyof LoadCounts)[] = [
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

/** Tells what happens, unless only the summary is wanted. */
class Narrator {
  readonly #isSilent: boolean;

  readonly #startedAt = Date.now();

  constructor(isSilent: boolean) {
    this.#isSilent = isSilent;
  }

  report(text: string): void {
    if (!this.#isSilent) {
      console.log(text);
    }
  }

  reportNow(text: string): void {
    const seconds = ((Date.now() - this.#startedAt) / 1_000).toFixed(1);
    this.report(`${seconds.padStart(6)} s  ${text}`);
  }
}

function sumCounts(all: readonly LoadCounts[]): LoadCounts {
  const sums = COUNT_NAMES.map((name) => [
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
  narrator: Narrator,
  signal: AbortSignal,
): Promise<void> {
  const addresses = listOperatorAddresses(deployment);
  while (!signal.aborted) {
    narrator.reportNow(await formatProgress(addresses));
    await wait(PROGRESS_INTERVAL_MS, null, { signal }).catch(() => {});
  }
}

async function runOperation(
  deployment: LocalDeployment,
  narrator: Narrator,
  kind: 'query' | 'command',
  text: string,
): Promise<void> {
  narrator.reportNow(`${kind} '${text}'`);
  const output = await deployment.operate(kind, text);
  narrator.report(output.replace(/^/gm, '          '));
}

/** Drains a host and withdraws a key while the load runs. */
async function runOperations(
  deployment: LocalDeployment,
  narrator: Narrator,
  durationMs: number,
): Promise<void> {
  await wait(durationMs / 6);
  await runOperation(deployment, narrator, 'query', 'calls show entry, queue, team, host');
  await runOperation(deployment, narrator, 'command', 'drain host oven-1 reason "demonstration"');
  await wait(durationMs / 12);
  const withdrawal = `withdraw key key-${WITHDRAWN_TEAM} reason "demonstration"`;
  await runOperation(deployment, narrator, 'command', withdrawal);
}

function reportSummary(narrator: Narrator, byTeam: ReadonlyMap<string, LoadCounts>): void {
  narrator.report('\nHow the calls ended, as their callers saw it:');
  const head = ['', ...COUNT_NAMES].map((name) => name.padStart(12)).join('');
  narrator.report(head);
  byTeam.forEach((counts, team) => {
    const cells = [team, ...COUNT_NAMES.map((name) => String(counts[name]))];
    narrator.report(cells.map((cell) => cell.padStart(12)).join(''));
  });
  narrator.report(`\nThe key of ${WITHDRAWN_TEAM} was withdrawn: its later calls were not run.`);
}

async function waitForInterrupt(deployment: LocalDeployment, narrator: Narrator): Promise<void> {
  narrator.report('\nThe fleet stays until Ctrl-C. In another shell:');
  narrator.report(`  export ENTRY=${deployment.getCallerAddress(0)}`);
  narrator.report(`  export BAOBABWELL_ADDRESS=${deployment.getOperatorAddress(0)}`);
  narrator.report(`  export BAOBABWELL_KEY=${deployment.getTeamSecret('schools')}`);
  narrator.report(`  export BAOBABWELL_OPERATOR_SECRET=${deployment.getOperatorSecret()}`);
  await once(process, 'SIGINT');
}

async function runLoads(
  deployment: LocalDeployment,
  narrator: Narrator,
  { duration, durationMs }: DemoOptions,
): Promise<ReadonlyMap<string, LoadCounts>> {
  const ended = new AbortController();
  const progress = reportProgress(deployment, narrator, ended.signal);
  const loads = TEAMS.map(async (team, index) =>
    deployment.runLoad({ team, rate: RATE_PER_TEAM, duration, seed: index + 1 }),
  );
  const [counts] = await Promise.all([
    Promise.all(loads),
    runOperations(deployment, narrator, durationMs),
  ]);
  ended.abort();
  await progress;
  return new Map(TEAMS.map((team, index) => [team, counts[index] as LoadCounts]));
}

async function runDemo(options: DemoOptions): Promise<void> {
  const narrator = new Narrator(options.json);
  const deployment = new LocalDeployment({ entries: ENTRIES, workers: WORKERS, teams: TEAMS });
  try {
    narrator.report(`Starting ${ENTRIES} entries, ${WORKERS} workers and a platform stand-in.`);
    await deployment.start();
    narrator.reportNow(
      `ready; load from ${TEAMS.join(' and ')}, ${RATE_PER_TEAM} calls a second each`,
    );
    const byTeam = await runLoads(deployment, narrator, options);
    reportSummary(narrator, byTeam);
    narrator.report('\nService-level burn:');
    narrator.report(await deployment.reportBurn(BURN_PAGE));
    narrator.report(`With plots: ${BURN_PAGE}`);
    if (options.json) {
      const total = sumCounts([...byTeam.values()]);
      console.log(JSON.stringify({ ...total, entries: ENTRIES, workers: WORKERS }));
    } else if (options.stay) {
      await waitForInterrupt(deployment, narrator);
    }
  } finally {
    await deployment.close();
  }
}

function parseFor(text: string): number {
  const durationMs = parseDuration(text);
  if (durationMs === null) {
    throw new Error('--for takes a duration such as 5s');
  }
  return durationMs;
}

const options = await yargs(hideBin(process.argv))
  .option('for', { type: 'string', default: '12s', describe: 'How long to send load' })
  .option('json', { type: 'boolean', default: false, describe: 'Print one JSON object' })
  .option('stay', { type: 'boolean', default: false, describe: 'Keep the fleet until Ctrl-C' })
  .strict()
  .parseAsync();
const { for: duration, json, stay } = options;
await runDemo({ duration, durationMs: parseFor(duration), json, stay });
