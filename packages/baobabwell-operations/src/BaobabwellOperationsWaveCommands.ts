import type {
  CommandContext,
  CommandInput,
  CommandOptionSpec,
  Decision,
  Refusal,
} from './BaobabwellOperations';
import type { Result } from '@baobabwell/utils';

import { decideWaveStart, decideWaveState } from '@baobabwell/maintenance';
import { EntityKind, OperatorRole, WavePolicyName, WaveScope, WaveState } from '@baobabwell/model';
import { createError } from '@baobabwell/utils';

import { OperatorCommand, OptionKind } from './BaobabwellOperations';

const DEFAULT_MAXIMUM_FAILURES = 1;

type Scope = { readonly scope: WaveScope; readonly scopeId: string };

function listScopes({ options }: CommandInput): readonly Scope[] {
  const pool = options.get('pool') as string | undefined;
  const rack = options.get('rack') as string | undefined;
  return [
    ...(pool === undefined ? [] : [{ scope: WaveScope.Pool, scopeId: pool }]),
    ...(rack === undefined ? [] : [{ scope: WaveScope.Rack, scopeId: rack }]),
    ...(options.get('fleet') === true ? [{ scope: WaveScope.Fleet, scopeId: '' }] : []),
  ];
}

/** Starts a wave of reboots. */
export class StartWaveCommand extends OperatorCommand {
  override readonly name = 'start wave';

  override readonly summary =
    'Reboots every host of a pool, a rack or the fleet in steps that respect the maintenance budgets.';

  override readonly role = OperatorRole.Operator;

  override readonly parameters = [{ name: 'wave', kind: EntityKind.Wave, isNew: true }];

  override readonly options: readonly CommandOptionSpec[] = [
    { name: 'pool', kind: OptionKind.Text, references: EntityKind.Pool },
    { name: 'rack', kind: OptionKind.Text },
    { name: 'fleet', kind: OptionKind.Flag },
    { name: 'policy', kind: OptionKind.Text, allowed: Object.values(WavePolicyName) },
    { name: 'maximum-failures', kind: OptionKind.Integer },
  ];

  override decide(
    input: CommandInput,
    { view, wallTime, reason, operator }: CommandContext,
  ): Result<Decision, Refusal> {
    const [scope, secondScope] = listScopes(input);
    if (scope === undefined || secondScope !== undefined) {
      return createError({
        code: 'bad-argument',
        message: 'exactly one of the options pool, rack and fleet is required',
      });
    }
    const { options } = input;
    return decideWaveStart(view, {
      id: input.values[0] ?? '',
      ...scope,
      policy: (options.get('policy') as WavePolicyName | undefined) ?? WavePolicyName.Budget,
      maximumFailures:
        (options.get('maximum-failures') as number | undefined) ?? DEFAULT_MAXIMUM_FAILURES,
      reason: reason || `started by ${operator}`,
      wallTime,
    });
  }
}

/** Resumes, pauses or aborts a wave. */
export class ChangeWaveCommand extends OperatorCommand {
  override readonly name: string;

  override readonly summary: string;

  override readonly role = OperatorRole.Operator;

  override readonly parameters = [{ name: 'wave', kind: EntityKind.Wave }];

  readonly #state: WaveState.Running | WaveState.Paused | WaveState.Aborted;

  constructor(
    verb: string,
    state: WaveState.Running | WaveState.Paused | WaveState.Aborted,
    summary: string,
  ) {
    super();
    this.name = `${verb} wave`;
    this.summary = summary;
    this.#state = state;
  }

  override decide(
    { values: [id = ''] }: CommandInput,
    { view, wallTime, reason, operator }: CommandContext,
  ): Result<Decision, Refusal> {
    return decideWaveState(
      view,
      id,
      this.#state,
      reason || `${this.name} by ${operator}`,
      wallTime,
    );
  }
}

/** Creates the commands that start and control waves. */
export function createWaveCommands(): readonly OperatorCommand[] {
  return [
    new StartWaveCommand(),
    new ChangeWaveCommand(
      'pause',
      WaveState.Paused,
      'Takes no further hosts out of service; hosts in progress are completed.',
    ),
    new ChangeWaveCommand('resume', WaveState.Running, 'Continues a paused or stopped wave.'),
    new ChangeWaveCommand(
      'abort',
      WaveState.Aborted,
      'Ends the wave; hosts in progress are completed.',
    ),
  ];
}
