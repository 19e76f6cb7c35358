import type { CallService } from '@baobabwell/calls';
import type { Kernel, Plugin } from '@baobabwell/kernel';
import type { AdmissionControl } from '@baobabwell/scheduling';

import { mergeUndo } from '@baobabwell/kernel';
import { DeadlineAdmission, ExpectedWaitAdmission } from '@baobabwell/scheduling';
import { AdmissionPolicy } from '@baobabwell/settings';
import { Random } from '@baobabwell/utils';

import { RecordedCallService, RecordedWorkerClientFactory } from './BaobabwellEntryRecorded';
import { buildSeed } from './BaobabwellEntrySeed';
import {
  CALL_RECORDER,
  CALL_SERVICE,
  FRESHNESS,
  IDEMPOTENCY,
  IDENTITY,
  PERMIT_POOL,
  SETTINGS,
  SLOT_SHARES,
  VIEW_STORE,
  WORKER_CLIENT_FACTORY,
  WORKER_DIRECTORY,
} from './BaobabwellEntryTokens';
import { WorkerDirectory } from './BaobabwellEntryWorkerDirectory';

function buildAdmission(kernel: Kernel): AdmissionControl {
  const { admission } = kernel.getService(SETTINGS).policies;
  return admission === AdmissionPolicy.Deadline
    ? new DeadlineAdmission()
    : new ExpectedWaitAdmission(kernel.clock);
}

function buildDirectory(kernel: Kernel): WorkerDirectory {
  const { id, incarnation } = kernel.getService(IDENTITY);
  const freshness = kernel.getService(FRESHNESS);
  return new WorkerDirectory({
    clock: kernel.clock,
    view: kernel.getService(VIEW_STORE),
    permits: kernel.getService(PERMIT_POOL),
    shares: kernel.getService(SLOT_SHARES),
    createAdmission: () => buildAdmission(kernel),
    clientFactory: new RecordedWorkerClientFactory(
      kernel.getService(WORKER_CLIENT_FACTORY),
      kernel.getService(CALL_RECORDER),
    ),
    recorder: kernel.getService(CALL_RECORDER),
    holder: `${id}.${incarnation}`,
    isCurrent: () => freshness.isCurrent(),
  });
}

function buildCallService(kernel: Kernel): CallService {
  const view = kernel.getService(VIEW_STORE);
  const freshness = kernel.getService(FRESHNESS);
  const directory = kernel.getService(WORKER_DIRECTORY);
  const { id, incarnation } = kernel.getService(IDENTITY);
  const dependencies = {
    clock: kernel.clock,
    random: new Random(buildSeed(`${id}.${incarnation}`)),
    getView: () => view.get(),
    isCurrent: () => freshness.isCurrent(),
    getScheduler: (pool: string) => directory.getScheduler(pool),
    idempotency: kernel.getService(IDEMPOTENCY),
  };
  return new RecordedCallService(dependencies, kernel.getService(CALL_RECORDER));
}

/** Provides the call service and the worker directory, which follows the hosts of the view. */
export const callsPlugin: Plugin = {
  name: 'calls',
  register(kernel) {
    return mergeUndo(
      kernel.registerService(WORKER_DIRECTORY, buildDirectory),
      kernel.registerService(CALL_SERVICE, buildCallService),
    );
  },
  async start(kernel) {
    const view = kernel.getService(VIEW_STORE);
    const directory = kernel.getService(WORKER_DIRECTORY);
    directory.update(view.get());
    const undo = mergeUndo(
      view.registerListener(({ current }) => directory.update(current)),
      kernel.getService(PERMIT_POOL).registerListener(() => directory.grantSlots()),
    );
    kernel.lifecycle.add('worker sessions', () => {
      undo();
      directory.stop();
    });
  },
};
