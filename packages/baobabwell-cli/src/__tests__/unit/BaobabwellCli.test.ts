import type { AddressInfo } from 'node:net';

import { expect } from 'earl';
import { execFile } from 'node:child_process';
import { createServer } from 'node:http';

import { ExitCode } from '../../BaobabwellCliExit';
import { formatReply, getExitCode } from '../../BaobabwellCliStatements';

const MAIN = 'packages/baobabwell-cli/src/main.ts';
const UNREACHABLE_ADDRESS = '127.0.0.1:1';

type Run = { readonly exit: number; readonly output: string; readonly errors: string };

async function runProgram(line: string): Promise<Run> {
  const words = line.split(' ').filter((word) => word !== '');
  return new Promise((resolve) => {
    execFile(process.execPath, ['--import', 'tsx', MAIN, ...words], (error, output, errors) => {
      resolve({ exit: Number(error?.code ?? 0), output, errors });
    });
  });
}

describe('the command line', () => {
  it('refuses invalid input with an error message and runs no command', async function () {
    const lines = [
      '',
      'no-such-command',
      'serve --entry entry-1',
      'serve --settings none.yaml --entry entry-1',
      'load --address a --queue b --for 5',
      'stand-in worker --port 99999',
      'measure no-such-measure --seed -1',
    ];
    const runs = await Promise.all(lines.map(async (line) => runProgram(line)));
    expect(runs).toMatchSnapshot(this);
  });

  it('distinguishes invalid settings from an unreachable entry by the exit code', async () => {
    const json = await runProgram('check none.yaml --json');
    expect([json.exit, JSON.parse(json.output)]).toEqual([
      ExitCode.BadInput,
      {
        file: 'none.yaml',
        findings: [
          {
            place: { file: 'none.yaml', line: 1, column: 1, path: '' },
            problem: 'cannot be read',
            allowed: 'a readable file',
          },
        ],
      },
    ]);
    const query = await runProgram(`query hosts --address ${UNREACHABLE_ADDRESS}`);
    expect(query).toEqual({
      exit: ExitCode.Failure,
      output: '',
      errors: `${UNREACHABLE_ADDRESS}: connect ECONNREFUSED ${UNREACHABLE_ADDRESS}\n`,
    });
  });
});

describe('fleet commands', () => {
  const answers: Readonly<Record<string, readonly [number, string]>> = {
    '/jobs': [409, '{"error":"not-the-owner","owner":{"name":"oven-2","address":"x","epoch":2}}'],
    '/jobs/none': [404, '{"error":"unknown-job"}'],
    '/pools': [200, '{"pools":[{"pool":"ovens","hosts":3}]}'],
  };

  it('print a table or the reason for a failure, and set the exit code', async () => {
    const server = createServer((request, response) => {
      const [status, body] = answers[request.url ?? ''] ?? [500, '{}'];
      response.writeHead(status).end(body);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const runs = await Promise.all(
      ['fleet pools', 'fleet jobs', 'fleet job none', 'fleet owner'].map(async (line) =>
        runProgram(`${line} --address ${address}`),
      ),
    );
    server.close();
    expect(runs).toEqual([
      { exit: ExitCode.Success, output: 'pool   hosts\novens  3\n', errors: '' },
      {
        exit: ExitCode.Refused,
        output: '',
        errors: `${address} is not the owner; ask oven-2\n`,
      },
      { exit: ExitCode.Failure, output: '', errors: `${address}: no such job\n` },
      { exit: ExitCode.Failure, output: '', errors: `${address}: status 500\n` },
    ]);
  });
});

describe('formatReply', () => {
  it('aligns columns and marks missing values', () => {
    const rows = [
      { id: 'oven-1', slots: 8 },
      { id: 'oven-12', slots: null },
    ];
    const reply = { kind: 'rows' as const, version: 3, columns: ['id', 'slots'], rows };
    expect(formatReply(reply)).toEqual('id       slots\noven-1   8\noven-12  -');
  });

  it('maps each kind of failure to a distinct exit code', () => {
    const getRefusalExitCode = (code: string): ExitCode =>
      getExitCode({ kind: 'refused', code, message: '', column: null });
    expect([
      getRefusalExitCode('syntax'),
      getRefusalExitCode('conflict'),
      getExitCode({ kind: 'unavailable', cause: '' }),
      getExitCode({ kind: 'unknown', transactionId: '' }),
    ]).toEqual([ExitCode.BadInput, ExitCode.Refused, ExitCode.Failure, ExitCode.Unknown]);
  });
});
