/**
 * Runs all tests, or those in the given folders. Failed tests that KNOWN-RED.txt lists are printed
 * but do not fail the run.
 */
import Mocha from 'mocha';
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';

const FOLDERS = ['packages', 'platform', 'tests'];
const TEST_FILE = '.test.ts';
const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const TEST_LINE = /^test:\s*(.+)$/gm;
const TIMEOUT_MS = 20_000;

type TestRun = {
  readonly passed: number;
  readonly failedTitles: readonly string[];
};

async function readKnownRed(): Promise<ReadonlySet<string>> {
  const text = await readFile(KNOWN_RED_FILE, 'utf8');
  return new Set([...text.matchAll(TEST_LINE)].map(([, title = '']) => title.trim()));
}

async function findTestFiles(folder: string): Promise<readonly string[]> {
  const names = await readdir(folder, { recursive: true });
  return names.filter((name) => name.endsWith(TEST_FILE)).map((name) => join(folder, name));
}

async function runTests(files: readonly string[]): Promise<TestRun> {
  const mocha = new Mocha({ timeout: TIMEOUT_MS, reporter: 'dot' });
  files.forEach((file) => mocha.addFile(file));
  await mocha.loadFilesAsync();
  const failedTitles: string[] = [];
  return new Promise((resolve) => {
    const runner = mocha.run(() => resolve({ passed: runner.stats?.passes ?? 0, failedTitles }));
    runner.on('fail', (test) => failedTitles.push(test.fullTitle()));
  });
}

const folders = process.argv.slice(2);
const found = await Promise.all((folders.length > 0 ? folders : FOLDERS).map(findTestFiles));
const files = found.flat().toSorted((a, b) => a.localeCompare(b));
const { passed, failedTitles } = await runTests(files);
const knownRed = await readKnownRed();
const failures = failedTitles.filter((title) => !knownRed.has(title));
failedTitles
  .filter((title) => knownRed.has(title))
  .forEach((title) => console.log(`known red, see ${KNOWN_RED_FILE}: ${title}`));
failures.forEach((title) => console.log(`failed: ${title}`));
console.log(`${passed} passed, ${failures.length} failed`);
// Exits explicitly because test files may leave active timers, which would delay the exit.
// eslint-disable-next-line n/no-process-exit
process.exit(failures.length > 0 || passed === 0 ? 1 : 0);
