/** The command `explain-request`. */
import type { LoggedEvent } from '@baobabwell/logging';
import type { Argv } from 'yargs';

import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';

import { buildTimeline, formatTimeline, RequestOutcome } from '@baobabwell/explain';
import { parseEvent } from '@baobabwell/logging';

import { ExitCode, getErrorMessage, writeErrorLine, writeLine } from './BaobabwellCliExit';
import { JSON_OPTION } from './BaobabwellCliOptions';

/** File name that denotes standard input. */
const STANDARD_INPUT = '-';

async function readEvents(file: string): Promise<readonly LoggedEvent[]> {
  const input = file === STANDARD_INPUT ? process.stdin : createReadStream(file);
  const events: LoggedEvent[] = [];
  for await (const line of createInterface({ input })) {
    const event = parseEvent(line);
    if (event !== null) {
      events.push(event);
    }
  }
  return events;
}

/** Reads all log files; reports unreadable ones and returns `null` rather than incomplete events. */
async function readLogs(files: readonly string[]): Promise<readonly LoggedEvent[] | null> {
  const read = await Promise.allSettled(files.map(async (file) => readEvents(file)));
  const failed = read.flatMap((result, index) =>
    result.status === 'rejected' ? [`${files[index]}: ${getErrorMessage(result.reason)}`] : [],
  );
  failed.forEach(writeErrorLine);
  if (failed.length > 0) {
    process.exitCode = ExitCode.BadInput;
    return null;
  }
  return read.flatMap((result) => (result.status === 'fulfilled' ? result.value : []));
}

async function runExplain(id: string, files: readonly string[], json: boolean): Promise<void> {
  const events = await readLogs(files);
  if (events === null) {
    return;
  }
  const timeline = buildTimeline(id, events);
  const jsonOutput = {
    ...timeline,
    lines: timeline.lines.map(({ fields, ...line }) => ({
      ...line,
      fields: Object.fromEntries(fields),
    })),
    pauses: timeline.pauses.map(({ fromMs, tookMs }) => ({ fromMs, tookMs })),
  };
  writeLine(json ? JSON.stringify(jsonOutput) : formatTimeline(timeline));
  process.exitCode =
    timeline.outcome === RequestOutcome.NotFound ? ExitCode.Failure : ExitCode.Success;
}

/** Adds the command `explain-request`. */
export function addExplain(cli: Argv): Argv {
  return cli.command(
    'explain-request <id> <logs..>',
    'Trace a request through the logs of all processes to the cause of its outcome',
    (command) =>
      command
        .positional('id', { type: 'string', demandOption: true, describe: 'Id of the request' })
        .positional('logs', {
          type: 'string',
          array: true,
          demandOption: true,
          describe: 'Log files of processes; - reads standard input',
        })
        .option('json', JSON_OPTION)
        .example(
          '$0 explain-request 5c0e7a21d94b36f8 logs/*.log',
          'Show its events, gaps and outcome',
        ),
    async ({ id, logs, json }) => runExplain(id, logs, json),
  );
}
