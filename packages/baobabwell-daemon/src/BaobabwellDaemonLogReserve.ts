/**
 * Events that explain why a task was started again, or why a process received no calls; they are rare
 * unless something goes wrong.
 */
const RESERVED_EVENTS = new Set([
  'configuration-current',
  'configuration-outdated',
  'end-ignored',
  'ends-acknowledged-unseen',
  'ends-skipped',
  'event-loop-late',
  'host-lease-lapsed',
  'host-reborn',
  'readiness-changed',
  'readiness-probe-late',
  'run-lost',
  'run-vanished',
  'run-crashed',
  'host-crashed',
]);

const OWNERSHIP_PREFIX = 'ownership-';

/** Returns true for an event whose lines may use the reserve of the line writer. */
export function isReservedEvent(event: string): boolean {
  return RESERVED_EVENTS.has(event) || event.startsWith(OWNERSHIP_PREFIX);
}
