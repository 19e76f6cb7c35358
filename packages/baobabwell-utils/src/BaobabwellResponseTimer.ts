import type { CancelTimer } from './BaobabwellClock';

/** Time for which the process was busy from which a timeout is extended, in ms. */
const MIN_BUSY_MS = 20;

/** Longest time by which a timeout is extended because the process was busy, in ms. */
const MAX_EXTENSION_MS = 1_000;

/**
 * Starts the timeout of a response from another process. Time for which this process ran code, or was
 * suspended and handled the timer late, is waited again: it wrote and read no sockets meanwhile, so that
 * time says nothing about the other side. Sockets are read once more before the timeout takes effect.
 *
 * @param timeoutMs timeout in ms.
 */
export function startResponseTimer(timeoutMs: number, handleTimeout: () => void): CancelTimer {
  let remainingExtensionMs = MAX_EXTENSION_MS;
  let cancel: CancelTimer;
  const arm = (delayMs: number): void => {
    const dueAtMs = performance.now() + delayMs;
    const utilization = performance.eventLoopUtilization();
    const timer = setTimeout(() => {
      const latenessMs = performance.now() - dueAtMs;
      const activeMs = performance.eventLoopUtilization(utilization).active;
      const extensionMs = Math.min(Math.max(latenessMs, activeMs), remainingExtensionMs);
      if (extensionMs >= MIN_BUSY_MS) {
        remainingExtensionMs -= extensionMs;
        arm(extensionMs);
        return;
      }
      const immediate = setImmediate(handleTimeout);
      cancel = () => clearImmediate(immediate);
    }, delayMs);
    cancel = () => clearTimeout(timer);
  };
  arm(timeoutMs);
  return () => cancel();
}
