/** The commands `query` and `command`. */
import type { OperatorTarget } from './BaobabwellCliOperatorClient';
import type { OperatorReply } from '@baobabwell/operations';
import type { ChangeProgress } from '@baobabwell/view';
import type { Argv } from 'yargs';

import { ExitCode, writeErrorLine, writeLine } from './BaobabwellCliExit';
import { formatFailure, OperatorClient } from './BaobabwellCliOperatorClient';
import { ADDRESS_OPTION, CA_OPTION, getOperatorSecret, JSON_OPTION } from './BaobabwellCliOptions';
import { formatTable } from './BaobabwellCliTable';

const INVALID_STATEMENT_CODES = [
  'syntax',
  'unknown-word',
  'unknown-source',
  'unknown-column',
  'unknown-command',
  'bad-argument',
];

function formatProgress({ stage, missing }: ChangeProgress): string {
  return missing.length === 0 ? stage : `${stage}, not yet at ${missing.join(', ')}`;
}

/** Formats a reply as text. */
export function formatReply(reply: OperatorReply): string {
  switch (reply.kind) {
    case 'rows':
      return formatTable(reply.columns, reply.rows);
    case 'changed':
      return [`version ${reply.version} ${formatProgress(reply.progress)}`, ...reply.notes].join(
        '\n',
      );
    case 'refused':
      return `${reply.code}: ${reply.message}`;
    case 'unavailable':
      return `unavailable: ${reply.cause}`;
    case 'unknown':
      return `unknown: look up transaction ${reply.transactionId}`;
  }
}

/** Returns the exit code that reports the outcome of a statement to scripts. */
export function getExitCode(reply: OperatorReply): ExitCode {
  switch (reply.kind) {
    case 'rows':
    case 'changed':
      return ExitCode.Success;
    case 'refused':
      return INVALID_STATEMENT_CODES.includes(reply.code) ? ExitCode.BadInput : ExitCode.Refused;
    case 'unavailable':
      return ExitCode.Failure;
    case 'unknown':
      return ExitCode.Unknown;
  }
}

async function runStatement(text: string, target: OperatorTarget, json: boolean): Promise<void> {
  const client = await OperatorClient.open(target);
  const sent = await client.send(text);
  await client.close();
  if (!sent.ok) {
    writeErrorLine(formatFailure(sent.error, target.address));
    process.exitCode = sent.error.kind === 'unreachable' ? ExitCode.Failure : ExitCode.Refused;
    return;
  }
  const reply = sent.value;
  const isSuccess = reply.kind === 'rows' || reply.kind === 'changed';
  const write = isSuccess || json ? writeLine : writeErrorLine;
  write(json ? JSON.stringify(reply) : formatReply(reply));
  process.exitCode = getExitCode(reply);
}

function addStatement(
  cli: Argv,
  name: 'query' | 'command',
  description: string,
  examples: readonly (readonly [string, string])[],
): Argv {
  return cli.command(
    `${name} <text..>`,
    description,
    (command) =>
      command
        .positional('text', { type: 'string', array: true, demandOption: true })
        .option('address', ADDRESS_OPTION)
        .option('ca', CA_OPTION)
        .option('json', JSON_OPTION)
        .example(examples.map(([text, what]): [string, string] => [`$0 ${name} '${text}'`, what]))
        .epilogue('The operator authenticates with the secret in BAOBABWELL_OPERATOR_SECRET.'),
    async ({ text, address, ca, json }) =>
      runStatement(
        text.join(' '),
        { address, secret: getOperatorSecret(), caFile: ca ?? null },
        json,
      ),
  );
}

/** Adds the command `query`. */
export function addQuery(cli: Argv): Argv {
  return addStatement(cli, 'query', 'Query the fleet', [
    ['calls show entry, queue, team, host', 'List the calls with entry, queue, team and host'],
    ['hosts where state = draining show id, pool, rack', 'List the hosts that are being drained'],
  ]);
}

/** Adds the command `command`. */
export function addCommand(cli: Argv): Argv {
  return addStatement(cli, 'command', 'Change the fleet', [
    ['drain host oven-1 reason "new firmware"', 'Take a host out of service'],
    [
      'withdraw key key-guilds if version 12',
      'Withdraw a key only if nothing changed since version 12',
    ],
  ]);
}
