import type { TermContext } from '../../BaobabwellControllerContext';
import type { PoolCapacity } from '../../BaobabwellControllerOffers';
import type { QueueSettings } from '@baobabwell/fleet';
import type { JobRecord } from '@baobabwell/jobs';
import type { CancelTimer } from '@baobabwell/utils';

import { expect } from 'earl';

import { CallerEstimates } from '@baobabwell/durations';
import { CONFIGURATION, PLAIN_STEP } from '@baobabwell/job-emulator';
import { computeMemoryLimits, JobRegistry } from '@baobabwell/jobs';
import { Clock } from '@baobabwell/utils';

import { JobRates } from '../../BaobabwellControllerJobRates';
import { OfferAdmission } from '../../BaobabwellControllerOffers';

/** Time that a busy owner takes to sum the accepted work of a pool, in ms. */
const SUM_MS = 25;

const TASK_MS = 1_000;

const QUEUE: QueueSettings = {
  ...(CONFIGURATION.queues[0] as QueueSettings),
  stretch: 1,
  targetLatencyMs: 1_000,
};

/** A clock of a process that takes its time whenever it sums the accepted work. */
class BusyClock extends Clock {
  nowMs = 0;

  override getNow(): number {
    return this.nowMs;
  }

  override getWallTime(): number {
    this.nowMs += SUM_MS;
    return this.nowMs;
  }

  override startTimer(): CancelTimer {
    return () => undefined;
  }
}

function createJob(id: string): JobRecord {
  const need = { cpuMillis: 1_000, memoryMb: 0, gpus: 0 };
  const step = { ...PLAIN_STEP, taskCount: 100, need, estimateMs: TASK_MS };
  const spec = { payload: '', steps: [step], repeat: null };
  return { id, queue: QUEUE.name, organisation: null, acceptedAtMs: 0, spec };
}

function createCapacity(cpuMillis: number): PoolCapacity {
  return {
    cpuMillis,
    arrivingCpuMillis: 0,
    allocatableCpuMillis: 0,
    isComplete: true,
    machineCapacities: [],
  };
}

describe('admission by a busy owner', () => {
  it('refuses nothing by the capacity that a pool had before machines joined it', () => {
    const clock = new BusyClock();
    const configuration = { ...CONFIGURATION, queues: [QUEUE], organisations: [] };
    const getConfiguration = () => configuration;
    const context = {
      clock,
      durations: new CallerEstimates(),
      jobRegistry: new JobRegistry(() => null),
      jobRates: new JobRates({ clock, getConfiguration }),
      hosts: new Map(),
      getConfiguration,
      getMemoryLimits: () => computeMemoryLimits(Infinity),
    } as unknown as TermContext;
    let capacity = createCapacity(10_000);
    const admission = new OfferAdmission(context, () => capacity);
    expect(admission.decide(createJob('a1'), QUEUE).isWanted).toEqual(false);
    capacity = createCapacity(200_000);
    clock.nowMs += 100;
    expect(admission.decide(createJob('a2'), QUEUE).isWanted).toEqual(true);
    expect(admission.describeBasis(QUEUE)).toEqual({
      roomCpu: 200_000,
      arrivingCpu: 0,
      workAgeMs: 125,
    });
  });
});
