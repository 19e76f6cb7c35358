/** Builds the daemon for the machines: one bundle and V8's code cache for it. */
import type { Plugin } from 'esbuild';

import { build } from 'esbuild';
import { execFile } from 'node:child_process';
import { copyFile, rm } from 'node:fs/promises';
import { promisify } from 'node:util';

import { readDaemonFlags } from './daemon-flags';

const BUNDLE = 'target/baobabwell-daemon.cjs';
const START_SCRIPT = 'target/daemon-start.cjs';
const CODE_CACHE = 'target/baobabwell-daemon.cache';

const runFile = promisify(execFile);

/** Bundles only zod's English error messages; the other languages double the size of the bundle. */
const englishOnly: Plugin = {
  name: 'english-only',
  setup(pluginBuild) {
    pluginBuild.onLoad({ filter: /zod[\\/]v4[\\/]locales[\\/]index\.js$/ }, () => ({
      contents: 'export { default as en } from "./en.js";',
    }));
  },
};

await build({
  entryPoints: ['platform/main.ts'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  plugins: [englishOnly],
  logLevel: 'warning',
});
await rm(CODE_CACHE, { force: true });
await copyFile('scripts/daemon-start.cjs', START_SCRIPT);
// Without settings the program loads all of its modules and then exits with code 1.
// V8 rejects a code cache that was created under other flags.
await runFile(process.execPath, [...(await readDaemonFlags()), START_SCRIPT, 'write-cache'], {
  env: { PATH: process.env['PATH'] },
}).catch((error: { readonly code?: number }) => {
  if (error.code !== 1) {
    throw error;
  }
});
