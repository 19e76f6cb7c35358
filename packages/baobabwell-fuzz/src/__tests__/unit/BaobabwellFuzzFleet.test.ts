import type { OperatorServiceHook } from '../../BaobabwellFuzzFleetHistory';
import type { FleetStep } from '../../BaobabwellFuzzFleetSteps';
import type { CommandContext, CommandInput, Decision, Refusal } from '@baobabwell/operations';
import type { Result } from '@baobabwell/utils';

import { expect } from 'earl';

import { createPut, EntityKind, HostState, MaintenanceGoal } from '@baobabwell/model';
import { DrainHostCommand, MoveHostCommand } from '@baobabwell/operations';
import { createOk } from '@baobabwell/utils';

import { FleetFuzzSuite } from '../../BaobabwellFuzzFleet';
import { FleetHistory } from '../../BaobabwellFuzzFleetHistory';
import { FleetStepKind } from '../../BaobabwellFuzzFleetSteps';

const SEED = 3;
const RUNS = 4;

/** Drains a host without checking the budget of its pool. */
class UncheckedDrainCommand extends DrainHostCommand {
  override decide(
    { values: [id = ''] }: CommandInput,
    { view, wallTime }: CommandContext,
  ): Result<Decision, Refusal> {
    const host = view.get(EntityKind.Host, id);
    const goal = MaintenanceGoal.Drain;
    const maintenance = { goal, wave: null, split: null, token: view.version + 1 };
    const change = { state: HostState.Draining, stateSince: wallTime, maintenance };
    return createOk({
      mutations: host ? [createPut(EntityKind.Host, { ...host, ...change })] : [],
      notes: [],
    });
  }
}

/** Moves a host to its new pool before it is drained from the old one. */
class PrematureMoveCommand extends MoveHostCommand {
  override decide(
    { values: [id = '', pool = ''] }: CommandInput,
    { view }: CommandContext,
  ): Result<Decision, Refusal> {
    const host = view.get(EntityKind.Host, id);
    return createOk({
      mutations: host ? [createPut(EntityKind.Host, { ...host, pool })] : [],
      notes: [],
    });
  }
}

function buildStep(kind: FleetStepKind, host: number, waitAfterMs: number): FleetStep {
  return { kind, entry: host, otherEntry: 0, host, pool: 0, waitAfterMs };
}

async function runSteps(
  steps: readonly FleetStep[],
  prepare: OperatorServiceHook = () => {},
): Promise<string | null> {
  const history = new FleetHistory(SEED, prepare);
  try {
    await history.start();
    for (const step of steps) {
      await history.run(step);
    }
    await history.finish();
    return null;
  } catch (error) {
    return (error as Error).message;
  } finally {
    history.close();
  }
}

const DRAINS = [0, 1, 2].map((host) => buildStep(FleetStepKind.Drain, host, 300));
const MOVES = [buildStep(FleetStepKind.Move, 0, 9_000)];

describe('the fleet suite', () => {
  it('finds no violated invariant', async () => {
    const report = await new FleetFuzzSuite().run({ seed: SEED, runs: RUNS });
    expect(report.failure).toEqual(null);
  });

  it('finds no violated invariant in the histories of the defects below', async () => {
    expect(await runSteps(DRAINS)).toEqual(null);
    expect(await runSteps(MOVES)).toEqual(null);
  });

  it('detects a drain that ignores the budget', async () => {
    const failure = await runSteps(DRAINS, (service) => {
      service.registerCommand(new UncheckedDrainCommand());
    });
    expect(failure).toEqual(expect.includes('pool ovens has 2 serving hosts and needs 3'));
  });

  it('detects a host that joins a pool before it has left the other', async () => {
    const failure = await runSteps(MOVES, (service) => {
      service.registerCommand(new PrematureMoveCommand());
    });
    expect(failure).toEqual(expect.includes('moves while it is serving'));
  });
});
