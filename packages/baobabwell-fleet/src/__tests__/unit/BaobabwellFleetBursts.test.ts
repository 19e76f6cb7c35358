import type { PoolDemand } from '../../BaobabwellFleetMoves';

import { expect } from 'earl';

import { decideMoves, divideHeadroom, getDesiredHosts, getRequiredHosts } from '../../index';

/**
 * Simulates demand bursts: four pools, one after the other, each demand five times their mean. In
 * this simple model, work waits until there is free capacity, and machines take a while to move.
 */
const POOLS = ['north', 'south', 'east', 'west'];
const SPARE = 'spare';
const MACHINES = 35;
const MACHINE_CPU = 16_000;
const STEP_MS = 100;
const MOVE_STEPS = 20;
const BURST_STEPS = 80;
const BURST_CPU = 240_000;
const IDLE_CPU = 3_000;
const BASE_HOSTS = 2;
const HEADROOM_HOSTS = 8;
const RETENTION_STEPS = 18;

type Machine = { pool: string; remainingMoveSteps: number };

function getDemand(pool: string, step: number): number {
  const burst = Math.floor(step / BURST_STEPS);
  return POOLS[burst % POOLS.length] === pool ? BURST_CPU : IDLE_CPU;
}

/** Measures the share of the demand that found free capacity at once, with or without moves. */
function measureImmediateShare(movesMachines: boolean): { served: number; poolSeconds: number } {
  const machines: Machine[] = Array.from({ length: MACHINES }, (_, index) => ({
    pool: index < 29 ? (POOLS[index % POOLS.length] as string) : SPARE,
    remainingMoveSteps: 0,
  }));
  const idleMs = new Map(POOLS.map((pool) => [pool, 20_000]));
  const recentDesired = new Map<string, number[]>();
  let demanded = 0;
  let served = 0;
  let poolSteps = 0;
  for (let step = 0; step < BURST_STEPS * POOLS.length; step += 1) {
    const headroom = divideHeadroom(
      POOLS.map((name) => ({ name, idleMs: idleMs.get(name) ?? 0 })),
      HEADROOM_HOSTS,
    );
    const demands: PoolDemand[] = [...POOLS, SPARE].map((name) => {
      const assigned = machines
        .map((machine, index) => ({ machine, index }))
        .filter(({ machine }) => machine.pool === name);
      const present = assigned.filter(({ machine }) => machine.remainingMoveSteps === 0);
      const cpu = name === SPARE ? 0 : getDemand(name, step);
      const used = Math.min(cpu, present.length * MACHINE_CPU);
      if (name !== SPARE) {
        demanded += cpu;
        served += used;
        poolSteps += assigned.length;
        idleMs.set(name, cpu === BURST_CPU ? 0 : (idleMs.get(name) ?? 0) + STEP_MS);
      }
      const load = {
        longRunningCpuMillis: 0,
        longRunningHosts: 1,
        runningCpuMillis: used,
        waitingCpuMillis: cpu - used,
        arrivingCpuMillis: cpu,
        previousArrivingCpuMillis: cpu,
        arrivingJobs: 0,
        longRunningMemoryMb: 0,
        currentMemoryMb: 0,
      };
      const minHosts = BASE_HOSTS + (headroom.get(name) ?? 0);
      const desired =
        name === SPARE
          ? 0
          : getDesiredHosts(load, { cpuMillis: MACHINE_CPU, memoryMb: 0, minHosts });
      const recent = [...(recentDesired.get(name) ?? []), desired].slice(-RETENTION_STEPS);
      recentDesired.set(name, recent);
      const busyCount = Math.ceil(used / MACHINE_CPU);
      return {
        name,
        isSpare: name === SPARE,
        machines: present.map(({ index }, position) => ({
          machine: String(index),
          isIdle: position >= busyCount,
          canBeDrained: false,
          usedCpuMillis: position >= busyCount ? 0 : MACHINE_CPU,
        })),
        arrivingCount: assigned.length - present.length,
        hasWaitingTasks: cpu > used,
        requiredHosts:
          name === SPARE
            ? 0
            : getRequiredHosts(load, {
                cpuMillis: MACHINE_CPU,
                memoryMb: 0,
                minHosts: BASE_HOSTS,
              }),
        desiredHosts: desired,
        retainedHosts: Math.max(...recent),
      };
    });
    machines.forEach((moving) => {
      const machine = moving;
      machine.remainingMoveSteps = Math.max(0, machine.remainingMoveSteps - 1);
    });
    if (movesMachines) {
      decideMoves(demands).moves.forEach(({ machine, to }) => {
        machines[Number(machine)] = { pool: to, remainingMoveSteps: MOVE_STEPS };
      });
    }
  }
  return { served: served / demanded, poolSeconds: (poolSteps * STEP_MS) / 1_000 };
}

describe('machines that are moved between bursts', () => {
  it('serves over 1.4 times as much demand at once as fixed pools, without all machines in pools', () => {
    const fixed = measureImmediateShare(false);
    const moving = measureImmediateShare(true);
    const allSeconds = (MACHINES * BURST_STEPS * POOLS.length * STEP_MS) / 1_000;
    expect(moving.served > 1.4 * fixed.served).toEqual(true);
    expect(moving.poolSeconds < allSeconds).toEqual(true);
  });

  it('divides headroom by idle time, with none for a pool that just had its burst', () => {
    const headroom = divideHeadroom(
      [
        { name: 'north', idleMs: 0 },
        { name: 'south', idleMs: 5_000 },
        { name: 'east', idleMs: 15_000 },
      ],
      8,
    );
    expect([...headroom]).toEqual([
      ['north', 0],
      ['south', 1],
      ['east', 7],
    ]);
  });
});
