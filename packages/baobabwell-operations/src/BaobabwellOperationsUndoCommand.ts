import type { CommandContext, CommandInput, Decision, Refusal } from './BaobabwellOperations';
import type { ChangeJournal, JournalEntry } from './BaobabwellOperationsJournal';
import type { FleetView } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { EntityKind, OperatorRole } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { OperatorCommand } from './BaobabwellOperations';

/** Kinds whose states follow what happens in the fleet, and so cannot be put back. */
const LIVE_KINDS: ReadonlySet<EntityKind> = new Set([
  EntityKind.Host,
  EntityKind.Member,
  EntityKind.Fence,
  EntityKind.Controller,
  EntityKind.Wave,
  EntityKind.Split,
]);

/** Puts back what one change replaced. */
export class UndoChangeCommand extends OperatorCommand {
  override readonly name = 'undo change';

  override readonly summary =
    'Puts back what the change of that version replaced, if nothing changed it since.';

  override readonly role = OperatorRole.Administrator;

  override readonly parameters = [{ name: 'version', kind: null }];

  readonly #journal: ChangeJournal;

  constructor(journal: ChangeJournal) {
    super();
    this.#journal = journal;
  }

  override decide(
    { values: [text = ''] }: CommandInput,
    { view }: CommandContext,
  ): Result<Decision, Refusal> {
    const version = Number(text);
    const entry = this.#journal.find(version);
    if (entry === null) {
      const oldest = this.#journal.getOldest() ?? view.version;
      const message = `change ${text} is not remembered; those from ${oldest} to ${view.version} are`;
      return createError({ code: 'not-found', message });
    }
    const refusal = this.#findObstacle(entry, view);
    return refusal === null
      ? createOk({ mutations: entry.inverse, notes: [`change ${version} undone`] })
      : createError(refusal);
  }

  #findObstacle({ change }: JournalEntry, view: FleetView): Refusal | null {
    const live = change.mutations.find(({ kind }) => LIVE_KINDS.has(kind));
    if (live !== undefined) {
      const message = `change ${change.version} touched ${live.kind} ${live.id}; use its own commands`;
      return { code: 'not-allowed', message };
    }
    for (const { kind, id } of change.mutations) {
      const last = this.#journal.findLastChange(kind, id);
      if (last !== null && last.version !== change.version && last.version <= view.version) {
        const who = `${last.author} changed ${kind} ${id} since, in version ${last.version}`;
        return { code: 'conflict', message: `${who}: ${last.command}` };
      }
    }
    return null;
  }
}
