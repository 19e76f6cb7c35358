/**
 * Runs seeds of the soak, or the table of takeovers or of reads, by hand:
 * `npx tsx tests/process/soak/run.ts soak --seed 1 --runs 10 [--no-lapsed]` prints one line a seed and exits with
 * code 1 if an invariant was broken; `npx tsx tests/process/soak/run.ts takeovers [--only FIRST,SECOND]
 * [--runs 3]`; `npx tsx tests/process/soak/run.ts reads [--only FIRST,SECOND] [--runs 3] [--seed 1]`.
 */
import type { CallsReport, ReadsTrouble } from './reads';
import type { SoakReport } from './soak';
import type { Takeover } from './takeover';

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { OwnerTrouble, runOtherCalls, runReads } from './reads';
import { runSoak } from './soak';
import { runTakeover, TAKEOVER_TASKS } from './takeover';

const DEFAULT_DURATION_MS = 15_000;
const MAX_EXAMPLES = 4;

/** Time for which a takeover is watched, in ms. */
const WATCH_MS = 14_000;

/** Rows of the table: trouble, and the times by which the store answers later, in ms. */
const TAKEOVERS: readonly (readonly [
  string,
  Omit<Takeover, 'delayMs' | 'watchMs'>,
  readonly number[],
])[] = [
  ['none', { isPlanned: true, losses: 0, crashesRack: false }, [272]],
  ['stop', { isPlanned: true, losses: 1, crashesRack: false }, [0, 272]],
  ['three-stops', { isPlanned: true, losses: 3, crashesRack: false }, [272]],
  ['kill', { isPlanned: false, losses: 1, crashesRack: false }, [50, 136, 272]],
  ['three-kills', { isPlanned: false, losses: 3, crashesRack: false }, [272]],
  ['rack-kill', { isPlanned: false, losses: 1, crashesRack: true }, [0, 136, 272]],
  ['rack-three-kills', { isPlanned: false, losses: 3, crashesRack: true }, [272]],
];

const LOST_SHARE = 0.4;
const { None, Pause, Kill, Stop } = OwnerTrouble;

/** Rows of the table of reads: trouble, the store's delay in ms, share of answers lost, jobs. */
const READS: readonly (readonly [string, OwnerTrouble, number, number, number])[] = [
  ['well', None, 0, 0, 300],
  ['well-272', None, 272, 0, 300],
  ['well-600', None, 600, 0, 300],
  ['well-lost', None, 0, LOST_SHARE, 300],
  ['paused', Pause, 0, 0, 300],
  ['paused-68', Pause, 68, 0, 300],
  ['paused-136', Pause, 136, 0, 300],
  ['paused-272', Pause, 272, 0, 300],
  ['killed-272', Kill, 272, 0, 300],
  ['stopped-272', Stop, 272, 0, 300],
  ['paused-lost', Pause, 0, LOST_SHARE, 300],
  ['paused-lost-few', Pause, 0, LOST_SHARE, 40],
  ['paused-272-many', Pause, 272, 0, 900],
  ['paused-272-few', Pause, 272, 0, 40],
];

/** Rows of the same table whose calls are submissions, cancels and counts of waiting jobs. */
const OTHER_CALLS: readonly (readonly [string, OwnerTrouble, number, number, number])[] = [
  ['calls-well', None, 0, 0, 0],
  ['calls-paused-272', Pause, 272, 0, 0],
  ['calls-killed-272', Kill, 272, 0, 0],
  ['calls-stopped-272', Stop, 272, 0, 0],
  ['calls-paused-lost', Pause, 0, LOST_SHARE, 0],
];

function listBroken(report: SoakReport, checksLapsed: boolean): readonly string[] {
  return Object.entries({
    cut: report.cut,
    'jobs-lost': report.jobsLost,
    twice: report.twice,
    ended: report.ended,
    lapsed: checksLapsed ? report.lapsed : [],
  })
    .filter(([, found]) => found.length > 0)
    .map(([name, found]) => `${name} ${found.length}: ${found.slice(0, MAX_EXAMPLES).join(' | ')}`);
}

function formatReport(report: SoakReport, broken: readonly string[]): string {
  const statuses = Object.entries(report.statuses).map(([status, count]) => `${status}=${count}`);
  return [
    `seed ${report.seed}: ${statuses.join(' ')} jobs=${report.jobs} stops=${report.stops}`,
    `reloads=${report.reloads} configurations=${report.configurations}`,
    `longest-cut-ms=${report.longestCutMs} lapsed=${report.lapsed.length};`,
    broken.length === 0 ? 'held' : `BROKEN ${broken.join('; ')}`,
  ].join(' ');
}

async function runSeeds(first: number, runs: number, durationMs: number, checksLapsed: boolean) {
  for (let seed = first; seed < first + runs; seed += 1) {
    const report = await runSoak(seed, durationMs);
    const broken = listBroken(report, checksLapsed);
    process.stdout.write(`${formatReport(report, broken)}\n`);
    if (broken.length > 0) {
      process.exitCode = 1;
    }
  }
}

async function runTakeovers(only: readonly string[], runs: number): Promise<void> {
  for (const [name, trouble, delays] of TAKEOVERS) {
    const isWanted = only.length === 0 || only.includes(name);
    const repeated = delays.flatMap((delayMs) => Array.from({ length: runs }, () => delayMs));
    for (const delayMs of isWanted ? repeated : []) {
      const { left, lapsed, allRunAfterMs } = await runTakeover({
        ...trouble,
        delayMs,
        watchMs: WATCH_MS,
      });
      process.stdout.write(
        `${name} store-later-ms=${delayMs} left=${left}/${TAKEOVER_TASKS} lapsed=${lapsed}` +
          ` all-run-after-ms=${allRunAfterMs ?? 'never'}\n`,
      );
    }
  }
}

function formatCalls({ told, asked, refused, other, nothing, p50Ms }: CallsReport): string {
  return `told=${told}/${asked} 503=${refused} other=${other} nothing=${nothing} p50-ms=${p50Ms}`;
}

async function runOtherCallsRow(trouble: ReadsTrouble): Promise<string> {
  const { submissions, cancels, counts } = await runOtherCalls(trouble);
  const parts = Object.entries({ submissions, cancels, counts });
  return parts.map(([name, calls]) => `${name}: ${formatCalls(calls)}`).join('; ');
}

async function runReadsTable(only: readonly string[], runs: number, seed: number): Promise<void> {
  for (const [name, owner, delayMs, lostShare, jobs] of [...READS, ...OTHER_CALLS]) {
    const isWanted = only.length === 0 || only.includes(name);
    for (let run = 0; run < (isWanted ? runs : 0); run += 1) {
      const trouble = { owner, delayMs, lostShare, jobs, seed: seed + run };
      const isOther = OTHER_CALLS.some(([other]) => other === name);
      const line = isOther ? await runOtherCallsRow(trouble) : formatCalls(await runReads(trouble));
      process.stdout.write(`${name} seed=${trouble.seed} ${line}\n`);
    }
  }
}

const options = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1 })
  .option('runs', { type: 'number', default: 1 })
  .option('duration-ms', { type: 'number', default: DEFAULT_DURATION_MS })
  .option('lapsed', { type: 'boolean', default: true })
  .option('only', { type: 'string', default: '' })
  .parse();

const wanted = options.only.split(',').filter((name) => name !== '');
if (options._[0] === 'takeovers') {
  await runTakeovers(wanted, options.runs);
} else if (options._[0] === 'reads') {
  await runReadsTable(wanted, options.runs, options.seed);
} else {
  await runSeeds(options.seed, options.runs, options['duration-ms'] as number, options.lapsed);
}
// Exits explicitly because timers of the stand-ins may be active.
// eslint-disable-next-line n/no-process-exit
process.exit();
