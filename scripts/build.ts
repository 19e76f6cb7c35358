/** Builds the single executable: a bundle injected into a copy of the node executable. */
import { build } from 'esbuild';
import { execFile } from 'node:child_process';
import { chmod, copyFile, mkdir, readFile, writeFile } from 'node:fs/promises';
import { promisify } from 'node:util';
import { inject } from 'postject';

const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const BINARY = 'dist/baobabwell';
const BUNDLE = 'dist/baobabwell.cjs';
const BLOB = 'dist/baobabwell.blob';
const SEA_CONFIG = 'dist/sea.json';
const EXECUTABLE_MODE = 0o755;
const URL_VARIABLE = 'baobabwellImportMetaUrl';

const runFile = promisify(execFile);

async function buildBundle(): Promise<void> {
  await build({
    entryPoints: ['packages/baobabwell-cli/src/main.ts'],
    outfile: BUNDLE,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    define: { 'import.meta.url': URL_VARIABLE },
    banner: {
      js: `const ${URL_VARIABLE} = require('node:url').pathToFileURL(process.execPath).href;`,
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
  await chmod(BINARY, EXECUTABLE_MODE);
  await inject(BINARY, 'NODE_SEA_BLOB', await readFile(BLOB), { sentinelFuse: SENTINEL_FUSE });
}

await mkdir('dist', { recursive: true });
await buildBundle();
await buildBinary();
