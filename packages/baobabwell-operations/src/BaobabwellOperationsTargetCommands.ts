import type { CommandContext, CommandInput, Decision, Refusal } from './BaobabwellOperations';
import type { Target } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { createPut, EntityKind, OperatorRole, TargetState } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { OperatorCommand } from './BaobabwellOperations';

function decideTargetState(
  target: Target | null,
  state: TargetState,
  note: string,
): Result<Decision, Refusal> {
  if (target === null) {
    return createError({ code: 'not-found', message: 'the target does not exist' });
  }
  return target.state === state
    ? createError({ code: 'conflict', message: `target ${target.id} is already ${state}` })
    : createOk({
        mutations: [createPut(EntityKind.Target, { ...target, state })],
        notes: [`target ${target.id} ${note}`],
      });
}

/** Stops the assignment of new work to a target. */
export class RetireTargetCommand extends OperatorCommand {
  override readonly name = 'retire target';

  override readonly summary = 'Assigns no new work to the target; running work may finish.';

  override readonly role = OperatorRole.Operator;

  override readonly parameters = [{ name: 'target', kind: EntityKind.Target }];

  override decide(
    { values: [id = ''] }: CommandInput,
    { view }: CommandContext,
  ): Result<Decision, Refusal> {
    return decideTargetState(view.get(EntityKind.Target, id), TargetState.Leaving, 'leaving');
  }
}

/** Puts a retired target back into service. */
export class ReturnTargetCommand extends OperatorCommand {
  override readonly name = 'return target';

  override readonly summary = 'Assigns new work to a retired target again.';

  override readonly role = OperatorRole.Operator;

  override readonly parameters = [{ name: 'target', kind: EntityKind.Target }];

  override decide(
    { values: [id = ''] }: CommandInput,
    { view }: CommandContext,
  ): Result<Decision, Refusal> {
    return decideTargetState(view.get(EntityKind.Target, id), TargetState.Serving, 'serving');
  }
}
