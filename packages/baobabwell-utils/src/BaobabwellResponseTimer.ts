import type { CancelTimer } from './BaobabwellClock';

/** Lateness of a timer from which the process counts as having been busy, in ms. */
const MIN_LATENESS_MS = 20;

/** Longest time by which a timeout is extended because the process was busy, in ms. */
const MAX_EXTENSION_MS = 1_000;

/**
 * Starts the timeout of a response from another process. A late timer shows that this process was busy
 * and read no sockets meanwhile; that time is waited again, because it says nothing about the other
 * side. Sockets are read once more before the timeout takes effect.
 *
 * @param timeoutMs timeout in ms.
 */
export function startResponseTimer(timeoutMs: number, handleTimeout: () => void): CancelTimer {
  let remainingExtensionMs = MAX_EXTENSION_MS;
  let cancel: CancelTimer;
  const arm = (delayMs: number): void => {
    const dueAtMs = performance.now() + delayMs;
    const timer = setTimeout(() => {
      const latenessMs = performance.now() - dueAtMs;
      const extensionMs = Math.min(latenessMs, remainingExtensionMs);
      if (extensionMs >= MIN_LATENESS_MS) {
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
