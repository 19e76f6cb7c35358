import type { DaemonAdapters, DaemonSettings } from './BaobabwellDaemonSettings';

import { LineWriter, Logger, LogLevel } from '@baobabwell/logging';
import { SystemClock } from '@baobabwell/utils';

import { buildDaemon } from './BaobabwellDaemon';
import { isReservedEvent } from './BaobabwellDaemonLogReserve';
import { DaemonState } from './BaobabwellDaemonState';

/** Time before the end of the grace period at which the process exits in any case, in ms. */
const EXIT_RESERVE_MS = 500;

type NonBlockingHandle = { readonly setBlocking?: (isBlocking: boolean) => void };

/**
 * Opens the standard output in non-blocking mode. A slow reader of a pipe then cannot block the
 * process; lines are dropped instead.
 */
function openOutput(): NodeJS.WriteStream {
  const { stdout } = process;
  const handle = (stdout as unknown as { readonly _handle?: NonBlockingHandle })._handle;
  handle?.setBlocking?.(false);
  return stdout;
}

async function waitForStopSignal(): Promise<string> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => resolve('SIGTERM'));
    process.once('SIGINT', () => resolve('SIGINT'));
  });
}

/** Runs one process until it receives a stop signal. */
export async function runDaemonProcess(
  settings: DaemonSettings,
  createAdapters: (logger: Logger) => DaemonAdapters,
): Promise<void> {
  const clock = new SystemClock();
  const writer = new LineWriter(clock, openOutput(), isReservedEvent);
  const { name, zone, fitness } = settings;
  const logger = new Logger(LogLevel.Info, { daemon: name }, writer.write, writer.admit);
  const state = new DaemonState();
  const adapters = createAdapters(logger);
  const kernel = buildDaemon({ settings, adapters, clock, logger, state });
  const stopSignal = waitForStopSignal();
  process.on('SIGHUP', () => logger.recordInfo('settings-reload-ignored', { reason: 'SIGHUP' }));
  process.on('unhandledRejection', (error) => {
    logger.recordError('unhandled-rejection', { cause: String(error) });
    writer.flush();
    throw error;
  });
  logger.recordInfo('process-starting', { zone, fitness: Number(fitness.toFixed(2)) });
  const started = kernel.start().then(async () => {
    logger.recordInfo('process-started', { upMs: Math.round(process.uptime() * 1_000) });
    return stopSignal;
  });
  // The grace period begins with the signal, also while the start waits for the store.
  const signal = await Promise.race([started, stopSignal]);
  state.recordStop(clock.getNow() + settings.graceMs - EXIT_RESERVE_MS);
  setTimeout(() => {
    logger.recordWarning('process-stop-cut-short');
    writer.flush();
    // At the end of the grace period the platform would kill the process with its open resources.
    // eslint-disable-next-line n/no-process-exit
    process.exit(0);
  }, settings.graceMs - EXIT_RESERVE_MS).unref();
  logger.recordInfo('process-stopping', { signal });
  const failures = await kernel.close();
  failures.forEach(({ name: resource, cause }) =>
    logger.recordError('close-failed', { resource, cause: String(cause) }),
  );
  logger.recordInfo('process-stopped', { failures: failures.length });
  writer.flush();
}
