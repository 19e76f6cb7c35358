/** The commands `fleet owner`, `fleet pools`, `fleet evacuations`, `fleet jobs` and `fleet job ID`. */
import type { Cell } from './BaobabwellCliTable';
import type { Argv } from 'yargs';

import { request } from 'undici';
import { z } from 'zod';

import { ExitCode, getErrorMessage, writeErrorLine, writeLine } from './BaobabwellCliExit';
import { JSON_OPTION } from './BaobabwellCliOptions';
import { formatTable } from './BaobabwellCliTable';

/** Timeout of a request, in ms; even under its highest load, an owner responds within 2 s. */
const RESPONSE_TIMEOUT_MS = 5_000;

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;

const METRICS_ADDRESS_OPTION = {
  type: 'string',
  default: '127.0.0.1:7001',
  describe: 'Metrics address of a process of the fleet',
} as const;

type FleetOptions = { readonly address: string; readonly json: boolean };

const rowSchema = z.record(z.string(), z.union([z.string(), z.number(), z.boolean(), z.null()]));
const ownerSchema = z.object({ owner: rowSchema.nullable() });

type Row = Readonly<Record<string, Cell>>;

function formatRows(rows: readonly Row[], emptyText: string): string {
  return rows.length === 0 ? emptyText : formatTable(Object.keys(rows[0] ?? {}), rows);
}

function describeFailure(address: string, status: number, body: unknown): string {
  if (status === HTTP_CONFLICT) {
    const owner = ownerSchema.safeParse(body).data?.owner ?? null;
    return owner === null
      ? `${address}: there is no owner at the moment`
      : `${address} is not the owner; ask ${owner['name']}`;
  }
  return status === HTTP_NOT_FOUND ? `${address}: no such job` : `${address}: status ${status}`;
}

/** Sends a request to a process and prints the response, or the reason for a failure. */
async function runFleetQuery(
  { address, json }: FleetOptions,
  path: string,
  formatBody: (body: unknown) => string,
): Promise<void> {
  try {
    const reply = await request(`http://${address}${path}`, {
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
    });
    const body: unknown = await reply.body.json();
    if (reply.statusCode === HTTP_OK) {
      writeLine(json ? JSON.stringify(body) : formatBody(body));
      return;
    }
    writeErrorLine(describeFailure(address, reply.statusCode, body));
    process.exitCode = reply.statusCode === HTTP_CONFLICT ? ExitCode.Refused : ExitCode.Failure;
  } catch (error) {
    writeErrorLine(`${address}: ${getErrorMessage(error)}`);
    process.exitCode = ExitCode.Failure;
  }
}

function formatOwner(body: unknown): string {
  const { owner } = ownerSchema.parse(body);
  return formatRows(owner === null ? [] : [owner], 'there is no owner at the moment');
}

function formatPools(body: unknown): string {
  return formatRows(z.object({ pools: z.array(rowSchema) }).parse(body).pools, 'no pools');
}

function formatEvacuations(body: unknown): string {
  const { evacuations } = z.object({ evacuations: z.array(rowSchema) }).parse(body);
  return formatRows(evacuations, 'no data centre is evacuated');
}

function formatJobs(body: unknown): string {
  const { jobs, openCount } = z
    .object({ jobs: z.array(rowSchema), openCount: z.number() })
    .parse(body);
  const more = openCount > jobs.length ? `\nand ${openCount - jobs.length} more` : '';
  return `${formatRows(jobs, 'no open jobs')}${more}`;
}

function formatJob(body: unknown): string {
  const { job, runs } = z.object({ job: rowSchema, runs: z.array(rowSchema) }).parse(body);
  return `${formatRows([job], '')}\n\n${formatRows(runs, 'no runs')}`;
}

function addFleetCommands(cli: Argv): Argv {
  const addOptions = (command: Argv) =>
    command.option('address', METRICS_ADDRESS_OPTION).option('json', JSON_OPTION);
  return cli
    .command('owner', 'Show which process is the owner', addOptions, async (options) =>
      runFleetQuery(options as unknown as FleetOptions, '/owner', formatOwner),
    )
    .command(
      'pools',
      'Show hosts, runs and free capacity of each pool',
      addOptions,
      async (options) => runFleetQuery(options as unknown as FleetOptions, '/pools', formatPools),
    )
    .command(
      'evacuations',
      'Show the evacuated data centres and what is left there',
      addOptions,
      async (options) =>
        runFleetQuery(options as unknown as FleetOptions, '/evacuations', formatEvacuations),
    )
    .command(
      'jobs',
      'Show the jobs that have not ended, oldest first',
      addOptions,
      async (options) => runFleetQuery(options as unknown as FleetOptions, '/jobs', formatJobs),
    )
    .command(
      'job <id>',
      'Show one job and its runs',
      (command) =>
        addOptions(command).positional('id', {
          type: 'string',
          demandOption: true,
          describe: 'Id of the job',
        }),
      async (options) =>
        runFleetQuery(
          options as unknown as FleetOptions,
          `/jobs/${encodeURIComponent(String(options['id']))}`,
          formatJob,
        ),
    );
}

/** Adds the command `fleet`. */
export function addFleet(cli: Argv): Argv {
  return cli.command(
    'fleet',
    'Show the owner and its pools, evacuations, jobs and runs',
    (command) =>
      addFleetCommands(command)
        .example('$0 fleet jobs --address 10.1.0.23:7001', 'List the jobs that have not ended')
        .demandCommand(1, 'name a subcommand: owner, pools, evacuations, jobs or job'),
  );
}
