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
    isDraining: false,
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
    expect(decideMaintenance(wave)).toEqual({
      maintenanceStarts: ['off'],
      drains: [],
      stops: [],
    });
    expect(decideMaintenance({ ...wave, maxDown: 3 })).toEqual({
      maintenanceStarts: ['off', 'idle'],
      drains: [],
      stops: [],
    });
  });

  it('starts nothing while the maximum number of machines is down', () => {
    const wave = { remainingMs: 60_000, maxDown: 2, downCount: 2, maintenanceMs: 3_500, due };
    expect(decideMaintenance(wave)).toEqual({
      maintenanceStarts: [],
      drains: [],
      stops: [],
    });
  });

  it('drains busy machines only if time requires it, those with long running tasks last', () => {
    const busy = due.slice(0, 2);
    const wave = { remainingMs: 7_000, maxDown: 1, downCount: 0, maintenanceMs: 3_500, due: busy };
    expect(decideMaintenance(wave).drains).toEqual(['busy']);
  });

  it('goes on with the drain that it began, whatever runs elsewhere', () => {
    const draining = createDue('draining', { usedCpuMillis: 60_000, isDraining: true });
    const wave = {
      remainingMs: 9_000,
      maxDown: 1,
      downCount: 0,
      maintenanceMs: 3_500,
      due: [createDue('busy', {}), draining],
    };
    expect(decideMaintenance(wave).drains).toEqual(['draining']);
  });

  it('stops the runs of the last machine in time for its maintenance', () => {
    const wave = { maxDown: 4, downCount: 0, maintenanceMs: 3_500, due: due.slice(1, 2) };
    expect(decideMaintenance({ ...wave, remainingMs: 6_000 }).stops).toEqual([]);
    expect(decideMaintenance({ ...wave, remainingMs: 4_900 }).stops).toEqual(['busy']);
  });
});
