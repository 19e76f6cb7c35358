import type { CommandContext, CommandInput, Decision, Refusal } from '@baobabwell/operations';
import type { Result } from '@baobabwell/utils';

import { EntityKind, OperatorRole } from '@baobabwell/model';
import { OperatorCommand } from '@baobabwell/operations';
import { createError, createOk } from '@baobabwell/utils';

import { buildFenceMutations } from './BaobabwellMembershipChanges';

/** Fences an entry after an operator has confirmed that its host was removed or has stopped. */
export class FenceMemberCommand extends OperatorCommand {
  override readonly name = 'fence member';

  override readonly summary = 'Fences an entry that was removed or has stopped.';

  override readonly role = OperatorRole.Operator;

  override readonly parameters = [{ name: 'member', kind: EntityKind.Member }];

  override decide(
    { values: [id = ''] }: CommandInput,
    { view, wallTime, reason }: CommandContext,
  ): Result<Decision, Refusal> {
    const member = view.get(EntityKind.Member, id);
    return member === null
      ? createError({ code: 'not-found', message: `there is no member "${id}"` })
      : createOk({
          mutations: buildFenceMutations(member, reason, wallTime),
          notes: [`member ${id} fenced, incarnation ${member.incarnation}`],
        });
  }
}
