/** Flags of Node.js for the daemon: the ones with which the machines start it. */
import { readFile } from 'node:fs/promises';

const DEPLOY_FILE = 'deploy/system.toml';
const RUN_LINE = /^run = "node (.*) target\/daemon-start\.cjs"$/m;

/**
 * Reads the flags from the deploy file.
 *
 * @throws if no role there starts the daemon.
 */
export async function readDaemonFlags(): Promise<readonly string[]> {
  const [, flags] = RUN_LINE.exec(await readFile(DEPLOY_FILE, 'utf8')) ?? [];
  if (flags === undefined) {
    throw new Error(`${DEPLOY_FILE}: no role starts target/daemon-start.cjs with node`);
  }
  return flags.split(' ');
}
