/** Checks that the built binary starts, explains itself and refuses bad input. */
import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

const BINARY = 'dist/baobabwell';
const runFile = promisify(execFile);

async function getExitCode(words: readonly string[]): Promise<number> {
  try {
    await runFile(BINARY, words);
    return 0;
  } catch (error) {
    return (error as { code: number }).code;
  }
}

async function checkExit(words: readonly string[], expected: number): Promise<void> {
  const code = await getExitCode(words);
  if (code !== expected) {
    throw new Error(`baobabwell ${words.join(' ')}: exit ${code}, expected ${expected}`);
  }
}

await checkExit(['--help'], 0);
await checkExit(['--version'], 0);
await checkExit(['no-such-command'], 2);
await checkExit(['check', 'no-such-file.yaml'], 2);
console.log('smoke run of the binary passed');

type DemoSummary = {
  readonly completed: number;
  readonly lost: number;
  readonly wrongAnswer: number;
};

async function checkDemo(): Promise<void> {
  const { stdout } = await runFile('npx', ['tsx', 'scripts/demo.ts', '--for', '2s', '--json']);
  const { completed, lost, wrongAnswer } = JSON.parse(stdout) as DemoSummary;
  if (completed === 0 || lost > 0 || wrongAnswer > 0) {
    throw new Error(`the demonstration went wrong: ${stdout}`);
  }
}

await checkDemo();
console.log('demonstration with the binary passed');
