/**
 * Starts the daemon from its bundle with the V8 code cache created at build time. Without the cache,
 * compiling the bundle takes a third of a second of CPU time on the small machines at each start.
 */
const { existsSync, readFileSync, writeFileSync } = require('node:fs');
const { createRequire } = require('node:module');
const { join } = require('node:path');
const { Script } = require('node:vm');

const BUNDLE = join(__dirname, 'baobabwell-daemon.cjs');
const CACHE = join(__dirname, 'baobabwell-daemon.cache');
const WRITE_CACHE = 'write-cache';

// Without a listener SIGHUP ends a process; the program adds its own once it has read its settings.
process.on('SIGHUP', () => {});

const source = readFileSync(BUNDLE, 'utf8');
const script = new Script(`(function (exports, require, module) {${source}\n})`, {
  filename: BUNDLE,
  cachedData: existsSync(CACHE) ? readFileSync(CACHE) : undefined,
});
const bundle = { exports: {} };
script.runInThisContext()(bundle.exports, createRequire(BUNDLE), bundle);
if (process.argv.includes(WRITE_CACHE)) {
  writeFileSync(CACHE, script.createCachedData());
}
