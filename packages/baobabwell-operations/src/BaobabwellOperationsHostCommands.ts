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

const HOST: CommandParameter = { name: 'host', kind: EntityKind.Host };

/** Takes a host out of service with a goal. */
abstract class TakeOutCommand extends OperatorCommand {
  override readonly role = OperatorRole.Operator;

  override readonly parameters: readonly CommandParameter[] = [HOST];

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

/** Takes a host out of service, if the budget of its pool allows it. */
export class DrainHostCommand extends TakeOutCommand {
  override readonly name = 'drain host';

  override readonly summary =
    'Gives the host no new work and lets what runs end, if the budget of its pool allows it.';

  protected override readonly goal = MaintenanceGoal.Drain;
}

/** Drains, reboots and returns a host. */
export class RebootHostCommand extends TakeOutCommand {
  override readonly name = 'reboot host';

  override readonly summary =
    'Drains the host, checks the budget again, reboots it and returns it after a probe.';

  protected override readonly goal = MaintenanceGoal.Reboot;
}

/** Moves a host to another pool. */
export class MoveHostCommand extends TakeOutCommand {
  override readonly name = 'move host';

  override readonly summary =
    'Drains the host in its pool and, once nothing runs on it, puts it into the other pool.';

  override readonly parameters = [HOST, { name: 'pool', kind: EntityKind.Pool }];

  protected override readonly goal = MaintenanceGoal.Move;
}

/** Puts a host back into service. */
export class ReturnHostCommand extends OperatorCommand {
  override readonly name = 'return host';

  override readonly summary = 'Gives the host new work again, in the pool in which it is now.';

  override readonly role = OperatorRole.Operator;

  override readonly parameters = [HOST];

  override decide(
    { values: [host = ''] }: CommandInput,
    { view, wallTime, reason, operator }: CommandContext,
  ): Result<Decision, Refusal> {
    return decideReturn(view, host, reason || `returned by ${operator}`, wallTime);
  }
}
