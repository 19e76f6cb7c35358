/** Checks that the built binary starts, prints its help, rejects invalid input and runs the demo. */
import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

const BINARY = 'dist/baobabwell';
const runFile = promisify(execFile);

async function getExitCode(args: readonly string[]): Promise<number> {
  try {
    await runFile(BINARY, args);
    return 0;
  } catch (error) {
    return (error as { code: number }).code;
  }
}

async function checkExit(args: readonly string[], expected: number): Promise<void> {
  const code = await getExitCode(args);
  if (code !== expected) {
    throw new Error(`baobabwell ${args.join(' ')}: exit ${code}, expected ${expected}`);
  }
}

await checkExit(['--help'], 0);
await checkExit(['--version'], 0);
await checkExit(['no-such-command'], 2);
await checkExit(['check', 'no-such-file.yaml'], 2);
console.log('smoke test of the binary passed');

type DemoSummary = {
  readonly completed: number;
  readonly lost: number;
  readonly wrongAnswer: number;
};

async function checkDemo(): Promise<void> {
  const { stdout } = await runFile('npx', ['tsx', 'scripts/demo.ts', '--for', '2s', '--json']);
  const { completed, lost, wrongAnswer } = JSON.parse(stdout) as DemoSummary;
  if (completed === 0 || lost > 0 || wrongAnswer > 0) {
    throw new Error(
      `the demo had no completed calls, or had lost calls or wrong answers: ${stdout}`,
    );
  }
}

await checkDemo();
console.log('demo of the binary passed');
