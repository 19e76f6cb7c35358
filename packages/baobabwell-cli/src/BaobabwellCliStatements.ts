import type { OperatorReply, QueryRow } from '@baobabwell/operations';
import type { ChangeProgress } from '@baobabwell/view';

import { request } from 'undici';

import { ExitCode, writeErrorLine, writeLine } from './BaobabwellCliExit';

const HTTP_OK = 200;
const COLUMN_GAP = '  ';

/** Where and as whom statements are sent. */
export type StatementTarget = {
  /** `host:port` of an entry's operator address. */
  readonly address: string;
  readonly secret: string;
  readonly json: boolean;
};

/** Formats rows as a table with aligned columns. */
export function formatTable(columns: readonly string[], rows: readonly QueryRow[]): string {
  const lines = [columns, ...rows.map((row) => columns.map((name) => String(row[name] ?? '-')))];
  const widths = columns.map((_, index) =>
    Math.max(...lines.map((line) => (line[index] ?? '').length)),
  );
  return lines
    .map((line) => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(COLUMN_GAP))
    .map((line) => line.trimEnd())
    .join('\n');
}

function formatProgress({ stage, missing }: ChangeProgress): string {
  return missing.length === 0 ? stage : `${stage}, not yet at ${missing.join(', ')}`;
}

function formatReply(reply: OperatorReply): string {
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
      return `unknown: ask for transaction ${reply.transactionId}`;
  }
}

function getExitCode(reply: OperatorReply): ExitCode {
  switch (reply.kind) {
    case 'rows':
    case 'changed':
      return ExitCode.Success;
    case 'refused':
      return reply.code === 'syntax' ? ExitCode.BadInput : ExitCode.Refused;
    case 'unavailable':
      return ExitCode.Failure;
    case 'unknown':
      return ExitCode.Unknown;
  }
}

/** Sends one statement to an entry and prints the reply. */
export async function runStatement(
  text: string,
  { address, secret, json }: StatementTarget,
): Promise<void> {
  try {
    const { statusCode, body } = await request(`http://${address}/v1/statements`, {
      method: 'POST',
      headers: { authorization: `Bearer ${secret}`, 'content-type': 'application/json' },
      body: JSON.stringify({ text }),
    });
    const reply = (await body.json()) as OperatorReply;
    if (statusCode !== HTTP_OK) {
      writeErrorLine(`refused with status ${statusCode}`);
      process.exitCode = ExitCode.Refused;
      return;
    }
    const isAnswer = reply.kind === 'rows' || reply.kind === 'changed';
    const write = isAnswer || json ? writeLine : writeErrorLine;
    write(json ? JSON.stringify(reply) : formatReply(reply));
    process.exitCode = getExitCode(reply);
  } catch (error) {
    writeErrorLine(`${address}: ${(error as Error).message}`);
    process.exitCode = ExitCode.Failure;
  }
}
