/** The command `version`. */
import type { Argv } from 'yargs';

import { writeLine } from './BaobabwellCliExit';
import { JSON_OPTION } from './BaobabwellCliOptions';

/** Version of the program. */
export const VERSION = '0.1.0';

/** Adds the command `version`. */
export function addVersion(cli: Argv): Argv {
  return cli.command(
    'version',
    'Print the versions of the program and of Node.js',
    (command) =>
      command
        .option('json', JSON_OPTION)
        .example('$0 version --json', 'Print the versions as JSON'),
    ({ json }) => {
      const versions = { baobabwell: VERSION, node: process.versions.node };
      writeLine(
        json
          ? JSON.stringify(versions)
          : `baobabwell ${versions.baobabwell} (node ${versions.node})`,
      );
    },
  );
}
