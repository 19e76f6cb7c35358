import type {
  CommandContext,
  CommandInput,
  CommandParameter,
  Decision,
  Refusal,
} from './BaobabwellOperations';
import type { Result } from '@baobabwell/utils';

import { decideReturn, decideTakeOut } from '@baobabwell/maintenance';
import { EntityKind, MaintenanceGoal, OperatorRole } from '@baobabwell/model';

import { OperatorCommand } from './BaobabwellOperations';

const HOST_PARAMETER: CommandParameter = { name: 'host', kind: EntityKind.Host };

/** Takes a host out of service for a maintenance goal, if the budget of its pool allows it. */
abstract class TakeHostOutCommand extends OperatorCommand {
  override readonly role = OperatorRole.Operator;

  override readonly parameters: readonly CommandParameter[] = [HOST_PARAMETER];

  protected abstract readonly goal: MaintenanceGoal;

  override decide(
    { values: [host = '', movingTo] }: CommandInput,
    { view, wallTime, reason, operator, getEvidence }: CommandContext,
  ): Result<Decision, Refusal> {
    const request = {
      host,
      goal: this.goal,
      reason: reason || `${this.name} by ${operator}`,
      wallTime,
      movingTo: movingTo ?? null,
    };
    return decideTakeOut(view, request, getEvidence);
  }
}

/** Drains a host. */
export class DrainHostCommand extends TakeHostOutCommand {
  override readonly name = 'drain host';

  override readonly summary =
    'Assigns no new work to the host and lets running work finish, if the budget of its pool allows it.';

  protected override readonly goal = MaintenanceGoal.Drain;
}

/** Drains and reboots a host and returns it to service. */
export class RebootHostCommand extends TakeHostOutCommand {
  override readonly name = 'reboot host';

  override readonly summary =
    'Drains the host, checks the budget again, reboots it and returns it after a successful probe.';

  protected override readonly goal = MaintenanceGoal.Reboot;
}

/** Moves a host to another pool. */
export class MoveHostCommand extends TakeHostOutCommand {
  override readonly name = 'move host';

  override readonly summary =
    'Drains the host in its pool and, once nothing runs on it, moves it to the other pool.';

  override readonly parameters = [HOST_PARAMETER, { name: 'pool', kind: EntityKind.Pool }];

  protected override readonly goal = MaintenanceGoal.Move;
}

/** Returns a host to service. */
export class ReturnHostCommand extends OperatorCommand {
  override readonly name = 'return host';

  override readonly summary = 'Assigns new work to the host again, in its current pool.';

  override readonly role = OperatorRole.Operator;

  override readonly parameters = [HOST_PARAMETER];

  override decide(
    { values: [host = ''] }: CommandInput,
    { view, wallTime, reason, operator }: CommandContext,
  ): Result<Decision, Refusal> {
    return decideReturn(view, host, reason || `returned by ${operator}`, wallTime);
  }
}
