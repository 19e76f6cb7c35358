import type { ServiceWindow } from '@baobabwell/model';

const MINUTES_PER_HOUR = 60;

function parseMinutes(time: string): number {
  const [hours = '0', minutes = '0'] = time.split(':');
  return Number(hours) * MINUTES_PER_HOUR + Number(minutes);
}

/**
 * Returns whether work of a queue may start. Times are in UTC. A window that closes before it opens
 * spans midnight; a queue without a window is always open.
 */
export function isWindowOpen(window: ServiceWindow | null, wallTime: number): boolean {
  if (window === null) {
    return true;
  }
  const date = new Date(wallTime);
  const now = date.getUTCHours() * MINUTES_PER_HOUR + date.getUTCMinutes();
  const opens = parseMinutes(window.opens);
  const closes = parseMinutes(window.closes);
  return opens <= closes ? now >= opens && now < closes : now >= opens || now < closes;
}
