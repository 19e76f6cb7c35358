import type { DueMachine } from '../../BaobabwellFleetWaves';

import { expect } from 'earl';

import { decideMaintenance } from '../../index';

function createDue(machine: string, change: Partial<DueMachine>): DueMachine {
  return {
    machine,
    isSpare: false,
    isUp: true,
    isIdle: false,
    hasLongRunning: false,
    usedCpuMillis: 8_000,
    ...change,
  };
}

describe('decideMaintenance', () => {
  const due = [
    createDue('longRunning', { hasLongRunning: true }),
    createDue('busy', {}),
    createDue('idle', { isIdle: true, usedCpuMillis: 0 }),
    createDue('off', { isSpare: true, usedCpuMillis: 0 }),
    createDue('down', { isUp: false, isIdle: true }),
  ];

  it('starts with machines that are switched off, then idle ones, up to the limit', () => {
    const wave = { remainingMs: 60_000, maxDown: 1, downCount: 0, maintenanceMs: 3_500, due };
    expect(decideMaintenance(wave)).toEqual({ maintenanceStarts: ['off'], drains: [] });
    expect(decideMaintenance({ ...wave, maxDown: 3 })).toEqual({
      maintenanceStarts: ['off', 'idle'],
      drains: [],
    });
  });

  it('starts nothing while the maximum number of machines is down', () => {
    const wave = { remainingMs: 60_000, maxDown: 2, downCount: 2, maintenanceMs: 3_500, due };
    expect(decideMaintenance(wave)).toEqual({ maintenanceStarts: [], drains: [] });
  });

  it('drains busy machines only if time requires it, those with long running tasks last', () => {
    const busy = due.slice(0, 2);
    const wave = { remainingMs: 7_000, maxDown: 1, downCount: 0, maintenanceMs: 3_500, due: busy };
    expect(decideMaintenance(wave).drains).toEqual(['busy']);
  });
});
