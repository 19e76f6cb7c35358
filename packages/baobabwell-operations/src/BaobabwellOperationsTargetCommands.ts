import type { CommandContext, CommandInput, Decision, Refusal } from './BaobabwellOperations';
import type { Target } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { createPut, EntityKind, OperatorRole, TargetState } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { OperatorCommand } from './BaobabwellOperations';

function decideState(
  target: Target | null,
  state: TargetState,
  note: string,
): Result<Decision, Refusal> {
  if (target === null) {
    return createError({ code: 'not-found', message: 'there is no such target' });
  }
  return target.state === state
    ? createError({ code: 'conflict', message: `target ${target.id} is ${state} already` })
    : createOk({
        mutations: [createPut(EntityKind.Target, { ...target, state })],
        notes: [`target ${target.id} ${note}`],
      });
}

/** Stops new work for a target. */
export class RetireTargetCommand extends OperatorCommand {
  override readonly name = 'retire target';

  override readonly summary = 'Gives the target no new work; what runs may end.';

  override readonly role = OperatorRole.Operator;

  override readonly parameters = [{ name: 'target', kind: EntityKind.Target }];

  override decide(
    { values: [id = ''] }: CommandInput,
    { view }: CommandContext,
  ): Result<Decision, Refusal> {
    return decideState(view.get(EntityKind.Target, id), TargetState.Leaving, 'leaving');
  }
}

/** Gives a retired target new work again. */
export class ReturnTargetCommand extends OperatorCommand {
  override readonly name = 'return target';

  override readonly summary = 'Gives a retired target new work again.';

  override readonly role = OperatorRole.Operator;

  override readonly parameters = [{ name: 'target', kind: EntityKind.Target }];

  override decide(
    { values: [id = ''] }: CommandInput,
    { view }: CommandContext,
  ): Result<Decision, Refusal> {
    return decideState(view.get(EntityKind.Target, id), TargetState.Serving, 'serving');
  }
}
