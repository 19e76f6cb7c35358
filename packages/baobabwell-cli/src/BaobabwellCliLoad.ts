import { runLoad } from '@baobabwell/load';
import { parseDuration } from '@baobabwell/settings';
import { SystemClock } from '@baobabwell/utils';

import { ExitCode, writeErrorLine, writeLine } from './BaobabwellCliExit';

/** Options of the load command as they were typed. */
export type LoadOptions = {
  readonly address: readonly string[];
  readonly queue: string;
  readonly rate: number;
  readonly duration: string;
  readonly run: string;
  readonly seed: number;
  readonly json: boolean;
};

/** Sends load and prints the counts. */
export async function runLoadCommand(options: LoadOptions): Promise<void> {
  const durationMs = parseDuration(options.duration);
  const runMs = parseDuration(options.run);
  if (durationMs === null || runMs === null) {
    writeErrorLine('--for and --run take durations such as 800ms or 5s');
    process.exitCode = ExitCode.BadInput;
    return;
  }
  const counts = await runLoad({
    clock: new SystemClock(),
    addresses: options.address,
    queue: options.queue,
    secret: process.env['BAOBABWELL_KEY'] ?? null,
    ratePerSecond: options.rate,
    durationMs,
    runMs,
    isRepeatable: true,
    seed: options.seed,
  });
  writeLine(
    options.json
      ? JSON.stringify(counts)
      : Object.entries(counts)
          .map(([name, value]) => `${name} ${value}`)
          .join('\n'),
  );
}
