import type { Kernel, Plugin } from '@baobabwell/kernel';

import { mergeUndo } from '@baobabwell/kernel';
import {
  FenceMemberCommand,
  FenceTracker,
  MembershipMonitor,
  MembershipService,
} from '@baobabwell/membership';
import { KeeperPermitPool } from '@baobabwell/permits';
import { buildFleetMutations } from '@baobabwell/settings';

import {
  ENTRY_SETTINGS,
  FENCE_TRACKER,
  HEARTBEAT_ROWS,
  HOST_LIST,
  IDENTITY,
  INCARNATION_STARTED,
  LOGGER,
  MEMBER_FENCED,
  MEMBER_RELEASED,
  MEMBERSHIP_MONITOR,
  MEMBERSHIP_SERVICE,
  OPERATOR_SERVICE,
  PERMIT_POOL,
  SETTINGS,
  VIEW_QUORUM,
  VIEW_STORE,
  VIEW_WRITER,
} from './BaobabwellEntryTokens';

function buildMembershipService(kernel: Kernel): MembershipService {
  const { dataCentre, peers: peerAddress } = kernel.getService(ENTRY_SETTINGS);
  const logger = kernel.getService(LOGGER);
  return new MembershipService({
    writer: kernel.getService(VIEW_WRITER),
    quorum: kernel.getService(VIEW_QUORUM),
    clock: kernel.clock,
    identity: kernel.getService(IDENTITY),
    location: { dataCentre, peerAddress },
    buildInitialFleet: (wallTime) =>
      buildFleetMutations(kernel.getService(SETTINGS).fleet, wallTime),
    holdsNothing: () => {
      const pool = kernel.getService(PERMIT_POOL);
      return pool instanceof KeeperPermitPool && pool.holdsNothing();
    },
    onFailure: (command, error) =>
      logger.recordDebug('membership-change-failed', { command, cause: JSON.stringify(error) }),
  });
}

function buildMembershipMonitor(kernel: Kernel): MembershipMonitor {
  return new MembershipMonitor({
    service: kernel.getService(MEMBERSHIP_SERVICE),
    store: kernel.getService(VIEW_STORE),
    quorum: kernel.getService(VIEW_QUORUM),
    heartbeats: kernel.getService(HEARTBEAT_ROWS),
    hostList: kernel.getService(HOST_LIST),
    clock: kernel.clock,
    identity: kernel.getService(IDENTITY),
    onCheck: () => kernel.getService(FENCE_TRACKER).update(),
  });
}

function buildFenceTracker(kernel: Kernel): FenceTracker {
  const logger = kernel.getService(LOGGER);
  return new FenceTracker({
    store: kernel.getService(VIEW_STORE),
    quorum: kernel.getService(VIEW_QUORUM),
    clock: kernel.clock,
    onFenced: (fenced) => {
      logger.recordInfo('member-fenced', { member: fenced.id, incarnation: fenced.incarnation });
      kernel.dispatchEvent(MEMBER_FENCED, fenced);
    },
    onReleased: (released) => {
      logger.recordInfo('member-released', {
        member: released.id,
        incarnation: released.incarnation,
      });
      kernel.dispatchEvent(MEMBER_RELEASED, released);
    },
  });
}

async function joinFleet(kernel: Kernel): Promise<void> {
  await kernel.getService(MEMBERSHIP_SERVICE).join();
  const { incarnation } = kernel.getService(IDENTITY);
  kernel.getService(LOGGER).recordInfo('entry-joined', { incarnation });
}

/**
 * Starts a new incarnation of this entry after the fenced one was released, and joins the fleet
 * with it.
 */
async function startNewIncarnation(kernel: Kernel): Promise<void> {
  const identity = kernel.getService(IDENTITY);
  identity.startNewIncarnation();
  const { id, incarnation } = identity;
  kernel.dispatchEvent(INCARNATION_STARTED, { id, incarnation });
  await joinFleet(kernel);
}

/** Monitors the other members and fences, and joins the fleet again after this entry was fenced. */
export const membershipPlugin: Plugin = {
  name: 'membership',
  register: (kernel) =>
    mergeUndo(
      kernel.registerService(MEMBERSHIP_SERVICE, buildMembershipService),
      kernel.registerService(MEMBERSHIP_MONITOR, buildMembershipMonitor),
      kernel.registerService(FENCE_TRACKER, buildFenceTracker),
    ),
  async start(kernel) {
    const service = kernel.getService(MEMBERSHIP_SERVICE);
    const monitor = kernel.getService(MEMBERSHIP_MONITOR);
    kernel.getService(OPERATOR_SERVICE).registerCommand(new FenceMemberCommand());
    const undo = kernel.registerListener(MEMBER_RELEASED, ({ id, incarnation }) => {
      const own = kernel.getService(IDENTITY);
      if (id === own.id && incarnation === own.incarnation) {
        void startNewIncarnation(kernel);
      }
    });
    void monitor.run();
    kernel.lifecycle.add('membership', async () => {
      undo();
      monitor.stop();
      await service.leave();
    });
  },
};

/**
 * Joins the fleet. It starts after the peer server, because members must answer peers once they
 * have joined.
 */
export const joinPlugin: Plugin = {
  name: 'join',
  register: () => () => {},
  start: joinFleet,
};
