/** The command `report burn`. */
import type { BurnReport, QueueObjective, Scrape } from '@baobabwell/reports';
import type { Settings } from '@baobabwell/settings';
import type { Agent } from 'undici';
import type { Argv } from 'yargs';

import { appendFile, readFile, writeFile } from 'node:fs/promises';
import { request } from 'undici';

import {
  buildBurnReport,
  buildScrape,
  formatBurnPage,
  formatDuration,
  formatPercentage,
  formatRate,
  formatScrape,
  parseScrapes,
} from '@baobabwell/reports';
import { formatFinding, SystemClock } from '@baobabwell/utils';

import { ExitCode, getErrorMessage, writeErrorLine, writeLine } from './BaobabwellCliExit';
import { openAgent } from './BaobabwellCliOperatorClient';
import { CA_OPTION, createDurationOption, JSON_OPTION } from './BaobabwellCliOptions';
import { loadSettings } from './BaobabwellCliSettings';
import { formatTable } from './BaobabwellCliTable';

const SCRAPE_TIMEOUT_MS = 5_000;

type ReportOptions = {
  readonly settings: string;
  readonly from: string | undefined;
  readonly store: string | undefined;
  readonly html: string | undefined;
  readonly ca: string | undefined;
  readonly durationMs: number;
  readonly intervalMs: number;
  readonly json: boolean;
};

function listObjectives({ fleet }: Settings): readonly QueueObjective[] {
  return fleet.queues.flatMap(({ id, objective }) =>
    objective === null
      ? []
      : {
          queue: id,
          success: objective.success,
          latencyMs: objective.latency,
          windowMs: objective.window,
        },
  );
}

/** Scrapes the call counts of one entry; if the request fails, prints the error and returns `null`. */
async function scrapeEntry(
  { id, operators }: Settings['entries'][number],
  scheme: string,
  agent: Agent,
): Promise<Scrape | null> {
  try {
    const { body } = await request(`${scheme}${operators}/metrics.json`, {
      dispatcher: agent,
      signal: AbortSignal.timeout(SCRAPE_TIMEOUT_MS),
    });
    return buildScrape(id, new SystemClock().getWallTime(), await body.json());
  } catch (error) {
    writeErrorLine(`${id} (${operators}): ${getErrorMessage(error)}`);
    return null;
  }
}

async function scrapeEntries(
  settings: Settings,
  { ca, store, durationMs, intervalMs }: ReportOptions,
): Promise<readonly Scrape[]> {
  const clock = new SystemClock();
  const agent = await openAgent(ca ?? null);
  const scheme = settings.tls.operators === null ? 'http://' : 'https://';
  const endsAt = clock.getNow() + durationMs;
  const scrapes: Scrape[] = [];
  for (;;) {
    const results = await Promise.all(
      settings.entries.map(async (entry) => scrapeEntry(entry, scheme, agent)),
    );
    const newScrapes = results.flatMap((scrape) => scrape ?? []);
    scrapes.push(...newScrapes);
    if (store !== undefined) {
      await appendFile(store, newScrapes.map((scrape) => `${formatScrape(scrape)}\n`).join(''));
    }
    if (clock.getNow() + intervalMs > endsAt) {
      await agent.close();
      return scrapes;
    }
    await clock.wait(intervalMs);
  }
}

async function readScrapeFile(file: string): Promise<readonly Scrape[] | null> {
  const parsed = parseScrapes(await readFile(file, 'utf8'), file);
  if (parsed.ok) {
    return parsed.value;
  }
  parsed.error.forEach((finding) => writeErrorLine(formatFinding(finding)));
  process.exitCode = ExitCode.BadInput;
  return null;
}

function formatReport({ queues }: BurnReport): string {
  const rows = queues.map(({ queue, success, latencyMs, calls, budgetLeft, windows, alerts }) => ({
    queue,
    objective: `${formatPercentage(success)} in ${formatDuration(latencyMs)}`,
    calls: calls.met + calls.slow + calls.failed,
    slow: calls.slow,
    failed: calls.failed,
    'budget left': formatPercentage(budgetLeft),
    ...Object.fromEntries(
      windows.map(({ windowMs, burnRate }) => [formatDuration(windowMs), formatRate(burnRate)]),
    ),
    alerts:
      alerts
        .filter(({ firing }) => firing)
        .map(({ severity, longMs }) => `${severity} ${formatDuration(longMs)}`)
        .join(', ') || 'none',
  }));
  return formatTable(Object.keys(rows[0] ?? { queue: '' }), rows);
}

async function runBurnReport(options: ReportOptions): Promise<void> {
  const settings = await loadSettings(options.settings);
  if (settings === null) {
    return;
  }
  const scrapes =
    options.from === undefined
      ? await scrapeEntries(settings, options)
      : await readScrapeFile(options.from);
  if (scrapes === null) {
    return;
  }
  if (scrapes.length === 0) {
    writeErrorLine('there are no scrapes: no entry responded, or the file is empty');
    process.exitCode = ExitCode.Failure;
    return;
  }
  const report = buildBurnReport(scrapes, listObjectives(settings));
  if (options.html !== undefined) {
    await writeFile(options.html, formatBurnPage(report, settings.name));
  }
  writeLine(options.json ? JSON.stringify(report) : formatReport(report));
}

function addBurn(cli: Argv): Argv {
  return cli.command(
    'burn',
    'Show how fast each queue uses up its error budget',
    (command) =>
      command
        .option('settings', {
          type: 'string',
          demandOption: true,
          describe: 'Settings file with the objectives and the entries',
        })
        .option('from', {
          type: 'string',
          describe: 'Read the scrapes from a file, not from entries',
        })
        .option('store', { type: 'string', describe: 'Append the scrapes to a file' })
        .option('html', { type: 'string', describe: 'Write the report to an HTML file' })
        .option('ca', CA_OPTION)
        .option('for', createDurationOption('for', 'How long to scrape', '0s'))
        .option('interval', createDurationOption('interval', 'Time between scrapes', '15s'))
        .option('json', JSON_OPTION)
        .example('$0 report burn --settings fleet.yaml', 'Report from the current counters')
        .example(
          '$0 report burn --settings fleet.yaml --store burn.jsonl --for 7d --interval 1m',
          'Scrape continuously and store the scrapes for later reports',
        )
        .example(
          '$0 report burn --settings fleet.yaml --from burn.jsonl --html burn.html',
          'Write a page with plots from stored scrapes',
        ),
    async (options) =>
      runBurnReport({
        ...options,
        durationMs: options.for as unknown as number,
        intervalMs: options.interval as unknown as number,
      }),
  );
}

/** Adds the command `report`. */
export function addReport(cli: Argv): Argv {
  return cli.command('report', 'Report on the fleet', (command) =>
    addBurn(command).demandCommand(1, 'name a report: burn'),
  );
}
