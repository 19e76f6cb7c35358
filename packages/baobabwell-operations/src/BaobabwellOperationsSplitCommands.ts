import type {
  CommandContext,
  CommandInput,
  CommandOptionSpec,
  Decision,
  QueryRow,
  Refusal,
} from './BaobabwellOperations';
import type { Result } from '@baobabwell/utils';

import { EntityKind, OperatorRole } from '@baobabwell/model';
import {
  decideFinish,
  decidePause,
  decidePlan,
  decideStart,
  decideUndo,
  rehearseSplit,
} from '@baobabwell/split';
import { createError, createOk } from '@baobabwell/utils';

import { OperatorCommand, OperatorReport, OptionKind } from './BaobabwellOperations';

const SPLIT_PARAMETER = { name: 'split', kind: EntityKind.Split };

function getList({ options }: CommandInput, name: string): readonly string[] {
  return (options.get(name) as readonly string[] | undefined) ?? [];
}

/** Plans a split. */
export class PlanSplitCommand extends OperatorCommand {
  override readonly name = 'plan split';

  override readonly summary =
    'Defines which targets, hosts and teams leave, and when; nothing changes until the split is started.';

  override readonly role = OperatorRole.Administrator;

  override readonly parameters = [{ ...SPLIT_PARAMETER, isNew: true }];

  override readonly options: readonly CommandOptionSpec[] = [
    {
      name: 'targets',
      kind: OptionKind.List,
      references: EntityKind.Target,
      isRequired: true,
    },
    { name: 'pools', kind: OptionKind.List, references: EntityKind.Pool },
    { name: 'hosts', kind: OptionKind.List, references: EntityKind.Host },
    { name: 'teams', kind: OptionKind.List, references: EntityKind.Team },
    { name: 'starts-in', kind: OptionKind.Duration },
  ];

  override decide(
    input: CommandInput,
    { view, wallTime, reason, operator }: CommandContext,
  ): Result<Decision, Refusal> {
    const delayMs = input.options.get('starts-in') as number | undefined;
    return decidePlan(view, {
      id: input.values[0] ?? '',
      targets: getList(input, 'targets'),
      hosts: getList(input, 'hosts'),
      pools: getList(input, 'pools'),
      teams: getList(input, 'teams'),
      notBefore: delayMs === undefined ? null : wallTime + delayMs,
      reason: reason || `planned by ${operator}`,
    });
  }
}

/** Reports both halves after a split and everything that blocks it. */
export class RehearseSplitCommand extends OperatorReport {
  override readonly name = 'rehearse split';

  override readonly summary =
    'Shows budgets, shares and capacity of both halves after the split, and what blocks it.';

  override readonly role = OperatorRole.Viewer;

  override readonly parameters = [SPLIT_PARAMETER];

  override readonly columns = ['half', 'kind', 'name', 'blocks', 'text'];

  override listRows(
    { values: [id = ''] }: CommandInput,
    { view, getEvidence }: CommandContext,
  ): Result<readonly QueryRow[], Refusal> {
    const split = view.get(EntityKind.Split, id);
    if (split === null) {
      return createError({ code: 'not-found', message: `there is no split "${id}"` });
    }
    const lines = rehearseSplit(view, split, getEvidence);
    return createOk(lines.map(({ isBlocking, ...line }) => ({ ...line, blocks: isBlocking })));
  }
}

type DecideSplitChange = (
  id: string,
  context: CommandContext,
  reason: string,
) => Result<Decision, Refusal>;

/** Changes the state of a split. */
export class ChangeSplitCommand extends OperatorCommand {
  override readonly name: string;

  override readonly summary: string;

  override readonly role = OperatorRole.Administrator;

  override readonly parameters = [SPLIT_PARAMETER];

  readonly #decide: DecideSplitChange;

  constructor(verb: string, summary: string, decide: DecideSplitChange) {
    super();
    this.name = `${verb} split`;
    this.summary = summary;
    this.#decide = decide;
  }

  override decide(
    { values: [id = ''] }: CommandInput,
    context: CommandContext,
  ): Result<Decision, Refusal> {
    return this.#decide(id, context, context.reason || `${this.name} by ${context.operator}`);
  }
}

/** Creates the commands that plan and control splits. */
export function createSplitCommands(): readonly OperatorCommand[] {
  return [
    new PlanSplitCommand(),
    new RehearseSplitCommand(),
    new ChangeSplitCommand(
      'start',
      'Starts a planned split if nothing blocks it, or continues a paused one.',
      (id, { view, getEvidence }, reason) => decideStart(view, id, reason, getEvidence),
    ),
    new ChangeSplitCommand(
      'pause',
      'Pauses the split after its current step.',
      (id, { view }, reason) => decidePause(view, id, reason),
    ),
    new ChangeSplitCommand(
      'undo',
      'Reverts all steps that have been done so far.',
      (id, { view, wallTime }, reason) => decideUndo(view, id, reason, wallTime),
    ),
    new ChangeSplitCommand(
      'finish',
      'Removes the leaving half permanently, once all other steps are done.',
      (id, { view }, reason) => decideFinish(view, id, reason),
    ),
  ];
}
