import type { Kernel, Plugin } from '@baobabwell/kernel';

import { mergeUndo } from '@baobabwell/kernel';
import { EntityKind } from '@baobabwell/model';
import {
  CallsSource,
  ChangeJournal,
  ChangesSource,
  CommandRecords,
  CommandsSource,
  createEntityCommands,
  CreateOperatorCommand,
  createSplitCommands,
  createWaveCommands,
  DrainHostCommand,
  EntitySource,
  GrantKeyCommand,
  HostsSource,
  MoveHostCommand,
  OperatorService,
  PoolsSource,
  RebootHostCommand,
  RetireTargetCommand,
  ReturnHostCommand,
  ReturnTargetCommand,
  RotateKeyCommand,
  TransactionSource,
  UndoChangeCommand,
  WithdrawKeyCommand,
} from '@baobabwell/operations';

import {
  buildActivityRouter,
  createActivityLister,
  listLocalActivity,
} from './BaobabwellEntryActivity';
import {
  CHANGE_JOURNAL,
  COMMAND_RECORDS,
  HOST_HEALTH,
  OPERATOR_SERVICE,
  PEER_ROUTERS,
  TABLE_SERVICE,
  VIEW_LOG,
  VIEW_QUORUM,
  VIEW_STORE,
  VIEW_WRITER,
} from './BaobabwellEntryTokens';

const MAX_JOURNAL_CHANGES = 10_000;

function registerCommands(kernel: Kernel, service: OperatorService): void {
  [
    ...createEntityCommands(),
    ...createWaveCommands(),
    ...createSplitCommands(),
    new CreateOperatorCommand(),
    new GrantKeyCommand(),
    new RotateKeyCommand(),
    new WithdrawKeyCommand(),
    new DrainHostCommand(),
    new RebootHostCommand(),
    new MoveHostCommand(),
    new ReturnHostCommand(),
    new RetireTargetCommand(),
    new ReturnTargetCommand(),
    new UndoChangeCommand(kernel.getService(CHANGE_JOURNAL)),
  ].forEach((command) => service.registerCommand(command));
}

function registerSources(kernel: Kernel, service: OperatorService): void {
  const store = kernel.getService(VIEW_STORE);
  const journal = kernel.getService(CHANGE_JOURNAL);
  const dependencies = {
    getView: () => store.get(),
    getEvidence: (host: string) => kernel.getService(HOST_HEALTH).getEvidence(host),
    listCalls: createActivityLister(kernel),
  };
  Object.values(EntityKind)
    .filter((kind) => kind !== EntityKind.Host && kind !== EntityKind.Pool)
    .forEach((kind) => service.registerSource(new EntitySource(kind, dependencies.getView)));
  service.registerSource(new HostsSource(dependencies));
  service.registerSource(new PoolsSource(dependencies));
  service.registerSource(new CallsSource(dependencies));
  service.registerSource(
    new ChangesSource(journal, (version) => kernel.getService(VIEW_QUORUM).getProgress(version)),
  );
  service.registerSource(new CommandsSource(journal, kernel.getService(COMMAND_RECORDS)));
  service.registerSource(
    new TransactionSource(journal, async (id) => kernel.getService(VIEW_LOG).findTransaction(id)),
  );
}

function buildOperatorService(kernel: Kernel): OperatorService {
  const service = new OperatorService({
    writer: kernel.getService(VIEW_WRITER),
    store: kernel.getService(VIEW_STORE),
    journal: kernel.getService(CHANGE_JOURNAL),
    records: kernel.getService(COMMAND_RECORDS),
    clock: kernel.clock,
    getEvidence: (host) => kernel.getService(HOST_HEALTH).getEvidence(host),
  });
  registerCommands(kernel, service);
  registerSources(kernel, service);
  return service;
}

function registerJournal(kernel: Kernel): () => void {
  const journal = new ChangeJournal(MAX_JOURNAL_CHANGES);
  const undo = kernel
    .getService(VIEW_STORE)
    .registerListener(({ previous, change, isSnapshot }) => {
      if (isSnapshot) {
        journal.clear();
      } else {
        journal.record(previous, change);
      }
    });
  return mergeUndo(
    undo,
    kernel.registerService(CHANGE_JOURNAL, () => journal),
  );
}

/** Provides the operator service with its commands and query sources. */
export const operatorsPlugin: Plugin = {
  name: 'operators',
  register: (kernel) =>
    mergeUndo(
      registerJournal(kernel),
      kernel.registerService(
        COMMAND_RECORDS,
        () => new CommandRecords(kernel.getService(TABLE_SERVICE), kernel.clock),
      ),
      kernel.registerService(OPERATOR_SERVICE, buildOperatorService),
    ),
  async start(kernel) {
    kernel.lifecycle.add('command records', () => kernel.getService(COMMAND_RECORDS).stop());
    kernel.getService(PEER_ROUTERS).push(buildActivityRouter(() => listLocalActivity(kernel)));
  },
};
