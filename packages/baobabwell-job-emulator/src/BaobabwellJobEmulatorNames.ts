import type { JobRecord, RepeatSpec, StepSpec } from '@baobabwell/jobs';

import { PLAIN_STEP, QUEUE } from './BaobabwellJobEmulatorConfiguration';

/** Zones over which hosts and machines are spread by the first number in their names. */
const ZONES = ['north', 'south', 'west'];

const HEX = 16;
const ID_LENGTH = 16;

/** Separates the address of a host from the number of its incarnation. */
export const ID_SEPARATOR = '~';

/** Returns the address of a host, which a later incarnation under another id shares. */
export function getAddress(id: string): string {
  return id.split(ID_SEPARATOR)[0] ?? id;
}

/** Returns the zone of a host or a machine, which a later worker on the machine shares. */
export function getZone(name: string, zoneCount: number): string {
  const number = Number(/\d+/.exec(name)?.[0] ?? 0);
  return ZONES[number % zoneCount] ?? '';
}

/** Returns the name of the step of a task: the members of a gang share it. */
export function getGang(task: string): string {
  return task.slice(0, task.lastIndexOf('.'));
}

/** Creates the record of a numbered job. */
export function createJobRecord(
  number: number,
  acceptedAtMs: number,
  steps: readonly Partial<StepSpec>[],
  repeat: RepeatSpec | null,
): JobRecord {
  return {
    id: number.toString(HEX).padStart(ID_LENGTH, '0'),
    queue: QUEUE,
    organisation: 'guild',
    acceptedAtMs,
    spec: { payload: '', steps: steps.map((step) => ({ ...PLAIN_STEP, ...step })), repeat },
  };
}
