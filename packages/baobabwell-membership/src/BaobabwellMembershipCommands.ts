import type { CommandContext, CommandInput, Decision, Refusal } from '@baobabwell/operations';
import type { Result } from '@baobabwell/utils';

import { EntityKind, OperatorRole } from '@baobabwell/model';
import { OperatorCommand } from '@baobabwell/operations';
import { createError, createOk } from '@baobabwell/utils';

import { buildFence } from './BaobabwellMembershipChanges';

/** Fences an entry on the word of an operator that its host is gone or stopped. */
export class FenceMemberCommand extends OperatorCommand {
  override readonly name = 'fence member';

  override readonly summary = 'Cuts an entry off that is gone or stopped.';

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
          mutations: buildFence(member, reason, wallTime),
          notes: [`member ${id} fenced in its life ${member.incarnation}`],
        });
  }
}
