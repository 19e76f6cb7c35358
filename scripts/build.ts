/** Builds the one binary: a bundle injected into a copy of the node program. */
import { build } from 'esbuild';
import { execFile } from 'node:child_process';
import { chmod, copyFile, mkdir, readFile, writeFile } from 'node:fs/promises';
import { promisify } from 'node:util';
import { inject } from 'postject';

const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const BINARY = 'dist/baobabwell';
const BUNDLE = 'dist/baobabwell.cjs';
const BLOB = 'dist/baobabwell.blob';
const SEA_CONFIG = 'dist/sea.json';
const EXECUTABLE = 0o755;
const URL_NAME = 'baobabwellImportMetaUrl';

const runFile = promisify(execFile);

async function buildBundle(): Promise<void> {
  await build({
    entryPoints: ['packages/baobabwell-cli/src/main.ts'],
    outfile: BUNDLE,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    define: { 'import.meta.url': URL_NAME },
    banner: {
      js: `const ${URL_NAME} = require('node:url').pathToFileURL(process.execPath).href;`,
    },
    loader: { '.html': 'text', '.css': 'text' },
    logLevel: 'warning',
  });
}

async function buildBinary(): Promise<void> {
  const config = { main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true };
  await writeFile(SEA_CONFIG, JSON.stringify(config));
  await runFile(process.execPath, ['--experimental-sea-config', SEA_CONFIG]);
  await copyFile(process.execPath, BINARY);
  await chmod(BINARY, EXECUTABLE);
  await inject(BINARY, 'NODE_SEA_BLOB', await readFile(BLOB), { sentinelFuse: SENTINEL });
}

await mkdir('dist', { recursive: true });
await buildBundle();
await buildBinary();
