import type { CommandContext, CommandInput, Decision, Refusal } from './BaobabwellOperations';
import type { ChangeJournal, JournalEntry } from './BaobabwellOperationsJournal';
import type { FleetView } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { EntityKind, OperatorRole } from '@baobabwell/model';
import { createError, createOk } from '@baobabwell/utils';

import { OperatorCommand } from './BaobabwellOperations';

/** Kinds whose state follows events in the running fleet, so an old state cannot be restored. */
const IRREVERSIBLE_KINDS: ReadonlySet<EntityKind> = new Set([
  EntityKind.Host,
  EntityKind.Member,
  EntityKind.Fence,
  EntityKind.Controller,
  EntityKind.Wave,
  EntityKind.Split,
]);

/** Restores the entities that one change replaced. */
export class UndoChangeCommand extends OperatorCommand {
  override readonly name = 'undo change';

  override readonly summary =
    'Restores what the change of that version replaced, if nothing has changed it since.';

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
      const oldest = this.#journal.getOldestVersion() ?? view.version;
      const message = `change ${text} is not in the journal, which holds versions ${oldest} to ${view.version}`;
      return createError({ code: 'not-found', message });
    }
    const refusal = this.#findUndoRefusal(entry, view);
    return refusal === null
      ? createOk({ mutations: entry.inverse, notes: [`change ${version} undone`] })
      : createError(refusal);
  }

  #findUndoRefusal({ change }: JournalEntry, view: FleetView): Refusal | null {
    const irreversible = change.mutations.find(({ kind }) => IRREVERSIBLE_KINDS.has(kind));
    if (irreversible !== undefined) {
      const message = `change ${change.version} changed ${irreversible.kind} ${irreversible.id}, which cannot be undone; use the commands of that entity`;
      return { code: 'not-allowed', message };
    }
    for (const { kind, id } of change.mutations) {
      const last = this.#journal.findLastChange(kind, id);
      if (last !== null && last.version !== change.version && last.version <= view.version) {
        const lastChange = `${last.author} changed ${kind} ${id} since, in version ${last.version}`;
        return { code: 'conflict', message: `${lastChange}: ${last.command}` };
      }
    }
    return null;
  }
}
