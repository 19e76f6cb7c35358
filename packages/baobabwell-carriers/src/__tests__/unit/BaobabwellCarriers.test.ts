import type { HostReport, OrderError } from '@baobabwell/platform';
import type { Result } from '@baobabwell/utils';

import { expect } from 'earl';

import { OrderRefusal } from '@baobabwell/platform';

import { ExchangeAnswer } from '../../index';
import { OWNER, TestFleet } from '../BaobabwellCarriersTestFleet';

const HOST_COUNT = 70;
const HOST = 'host-5';

/** Time in which everything that was sent is settled, in ms. */
const SETTLE_MS = 3_000;

function listKinds(replies: readonly Result<number | HostReport, OrderError>[]): readonly string[] {
  return [...new Set(replies.map((reply) => (reply.ok ? 'ok' : reply.error.kind)))];
}

function countEvents(fleet: TestFleet, event: string): number {
  return fleet.logLines.filter((line) => line.includes(`event=${event}`)).length;
}

describe('orders that peers carry', () => {
  it('are sent directly while the owner is not busy', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b']);
    fleet.load.share = 0.5;
    for (let round = 0; round < 20; round += 1) {
      void fleet.holdAll();
      await fleet.time.advance(100);
    }
    expect(fleet.messages.length).toEqual(0);
    expect(fleet.hosts.received.every(({ sender }) => sender === OWNER)).toEqual(true);
  });

  it('are sent directly in a small fleet, and without peers', async () => {
    for (const fleet of [new TestFleet(10, ['a', 'b']), new TestFleet(HOST_COUNT, [])]) {
      await fleet.startCarriage();
      expect(listKinds(await fleet.time.settle(fleet.holdAll(), SETTLE_MS))).toEqual(['ok']);
      expect(fleet.messages.length).toEqual(0);
    }
  });

  it('are carried from when the owner is busy until it no longer is', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b', 'c']);
    await fleet.startCarriage();
    const replies = await fleet.time.settle(fleet.holdAll(), SETTLE_MS);
    expect(listKinds(replies)).toEqual(['ok']);
    expect(fleet.hosts.received.some(({ sender }) => sender === OWNER)).toEqual(false);
    expect(new Set(fleet.messages.map(({ address }) => address)).size).toEqual(3);
    expect(fleet.messages.length < HOST_COUNT / 4).toEqual(true);
    fleet.load.share = 0.1;
    for (let round = 0; round < 40; round += 1) {
      void fleet.holdAll();
      await fleet.time.advance(100);
    }
    fleet.messages.length = 0;
    await fleet.time.settle(fleet.holdAll(), SETTLE_MS);
    expect(fleet.messages.length).toEqual(0);
    expect(countEvents(fleet, 'carriage-started')).toEqual(1);
    expect(countEvents(fleet, 'carriage-stopped')).toEqual(1);
  });

  it('return the results of hosts unchanged', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b']);
    const [direct] = await fleet.time.settle(fleet.holdAll(), SETTLE_MS);
    await fleet.startCarriage();
    const [carried] = await fleet.time.settle(fleet.holdAll(), SETTLE_MS);
    const clockMs = 0;
    expect(carried?.ok === true && { ...carried.value, clockMs }).toEqual(
      direct?.ok === true && { ...direct.value, clockMs },
    );
  });

  it('end at once when the caller aborts a hold call, also at the host', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b']);
    await fleet.startCarriage();
    const abort = new AbortController();
    const replies = fleet.holdAll(900, abort.signal);
    await fleet.time.advance(100);
    abort.abort();
    expect(listKinds(await fleet.time.settle(replies, 5))).toEqual([OrderRefusal.Unanswered]);
    await fleet.time.advance(200);
    fleet.messages.length = 0;
    await fleet.time.advance(200);
    expect(fleet.messages.length).toEqual(0);
    expect(countEvents(fleet, 'carrier-lost')).toEqual(0);
  });

  it('are sent directly near the end of the lease of the owner', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b']);
    await fleet.startCarriage();
    fleet.leaseLeftMs = 100;
    expect((await fleet.time.settle(fleet.start(HOST, 't'), SETTLE_MS)).ok).toEqual(true);
    expect(fleet.hosts.listStarts().map(({ sender }) => sender)).toEqual([OWNER]);
  });

  it('share messages of a bounded size, and are sent directly when they are long', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a']);
    await fleet.startCarriage();
    const starts = Array.from({ length: 250 }, async (_, index) => fleet.start(HOST, `t${index}`));
    expect(listKinds(await fleet.time.settle(Promise.all(starts), SETTLE_MS))).toEqual(['ok']);
    const counts = fleet.messages.map(({ message }) => message.orders.length);
    expect(Math.max(...counts)).toEqual(100);
    expect(fleet.hosts.begun.length).toEqual(250);
    fleet.hosts.received.length = 0;
    await fleet.time.settle(
      fleet.start(HOST, 'long', () => true, 1, 'x'.repeat(10_000)),
      SETTLE_MS,
    );
    expect(fleet.hosts.listStarts().map(({ sender }) => sender)).toEqual([OWNER]);
  });

  it('are not sent when their permission ended before the message', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b']);
    await fleet.startCarriage();
    let isAllowed = true;
    const reply = fleet.start(HOST, 't', () => isAllowed);
    isAllowed = false;
    expect(listKinds([await fleet.time.settle(reply, SETTLE_MS)])).toEqual([OrderRefusal.NotSent]);
    expect(fleet.hosts.listStarts()).toEqual([]);
  });
});

describe('a carrier that fails', () => {
  it('sends no start that it received before it was paused for longer than the start is valid', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b']);
    await fleet.startCarriage();
    fleet.peers.forEach(({ clock }) => clock.pause());
    let isAllowed = true;
    const reply = fleet.start(HOST, 't', () => isAllowed);
    await fleet.time.advance(300);
    isAllowed = false;
    expect(listKinds([await fleet.time.settle(reply, SETTLE_MS)])).toEqual([
      OrderRefusal.Unanswered,
    ]);
    fleet.peers.forEach(({ clock }) => clock.resume());
    await fleet.time.advance(SETTLE_MS);
    expect(fleet.hosts.listStarts()).toEqual([]);
  });

  it('sends no start for whose writing it was paused', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b']);
    await fleet.startCarriage();
    fleet.hosts.writeDelayMs = 20;
    let isAllowed = true;
    const reply = fleet.start(HOST, 't', () => isAllowed);
    await fleet.time.advance(10);
    fleet.peers.forEach(({ clock }) => clock.pause());
    await fleet.time.advance(250);
    isAllowed = false;
    fleet.peers.forEach(({ clock }) => clock.resume());
    expect((await fleet.time.settle(reply, SETTLE_MS)).ok).toEqual(false);
    await fleet.time.advance(SETTLE_MS);
    expect(fleet.hosts.listStarts()).toEqual([]);
  });

  it('sends no start that arrives late, whatever its clock shows', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b']);
    await fleet.startCarriage();
    fleet.lateMs = 250;
    const reply = await fleet.time.settle(fleet.start(HOST, 't'), SETTLE_MS);
    expect(reply.ok).toEqual(true);
    expect(fleet.hosts.listStarts().map(({ sender }) => sender)).toEqual([OWNER]);
  });

  it('makes no host count as silent, and has no run started twice', async () => {
    for (const fail of ['kill', 'pause', 'mute'] as const) {
      const fleet = new TestFleet(HOST_COUNT, ['a', 'b', 'c']);
      await fleet.startCarriage();
      const holds = fleet.holdAll(900);
      await fleet.time.advance(100);
      const starts = Array.from({ length: 20 }, async (_, index) =>
        fleet.start(`host-${index}`, `task-${index}`),
      );
      await fleet.time.advance(4);
      if (fail === 'mute') {
        [...fleet.peers.keys()].forEach((name) => fleet.mutedPeers.add(name));
      } else {
        fleet.peers.forEach(({ clock }) => clock[fail]());
      }
      expect(listKinds(await fleet.time.settle(Promise.all(starts), SETTLE_MS))).toEqual(['ok']);
      expect(listKinds(await fleet.time.settle(holds, SETTLE_MS))).toEqual(['ok']);
      fleet.peers.forEach(({ clock }) => clock.resume());
      await fleet.time.advance(SETTLE_MS);
      expect(new Set(fleet.hosts.begun).size).toEqual(20);
      expect(fleet.hosts.begun.length).toEqual(20);
      expect(countEvents(fleet, 'carrier-lost') > 0).toEqual(true);
    }
  });

  it('leaves the outcome of its starts unknown when their hosts do not answer either', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b']);
    await fleet.startCarriage();
    fleet.hosts.silentRoutes.add(`${OWNER} ${HOST}`);
    const reply = fleet.start(HOST, 't');
    await fleet.time.advance(4);
    fleet.peers.forEach(({ clock }) => clock.kill());
    expect(listKinds([await fleet.time.settle(reply, SETTLE_MS)])).toEqual([
      OrderRefusal.Unanswered,
    ]);
  });

  it('has the owner learn from the host that a run has started and ended', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b']);
    await fleet.startCarriage();
    void fleet.holdAll(900);
    await fleet.time.advance(100);
    const reply = fleet.start(HOST, 't');
    while (fleet.hosts.begun.length === 0) {
      await fleet.time.advance(1);
    }
    fleet.hosts.endedTasks.add('t');
    fleet.peers.forEach(({ clock }) => clock.kill());
    expect(listKinds([await fleet.time.settle(reply, SETTLE_MS)])).toEqual([
      OrderRefusal.Superseded,
    ]);
  });

  it('gets no orders when hosts are silent for it that answer the owner', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b']);
    await fleet.startCarriage();
    fleet.hosts.silentRoutes.add('a *');
    expect(listKinds(await fleet.time.settle(fleet.holdAll(), SETTLE_MS))).toEqual(['ok']);
    expect(countEvents(fleet, 'carrier-lost carrier=a reason=silent-hosts')).toEqual(1);
    expect(countEvents(fleet, 'carrier-lost')).toEqual(1);
    fleet.messages.length = 0;
    await fleet.time.settle(fleet.holdAll(), SETTLE_MS);
    expect(fleet.messages.some(({ address }) => address === 'a')).toEqual(false);
  });

  it('has none of the orders of its former incarnation', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b']);
    await fleet.startCarriage();
    const holds = fleet.holdAll(900);
    await fleet.time.advance(100);
    [...fleet.peers.keys()].forEach((name) => fleet.startPeer(name));
    expect(listKinds(await fleet.time.settle(holds, 600))).toEqual(['ok']);
    expect(countEvents(fleet, 'carrier-lost')).toEqual(2);
  });
});

describe('a carrier', () => {
  it('refuses orders of an earlier owner than the last one', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b']);
    await fleet.startCarriage();
    for (const { carrier } of fleet.peers.values()) {
      const later = { epoch: 2, channel: 1, sequence: 1, orders: [], abortedIds: [] };
      await fleet.time.settle(carrier.exchange(later), 100);
    }
    const replies = await fleet.time.settle(fleet.holdAll(), SETTLE_MS);
    expect(listKinds(replies)).toEqual([OrderRefusal.Fenced]);
    expect(fleet.hosts.received).toEqual([]);
  });

  it('sends no start that waits to be written once it has heard of a later owner', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b']);
    await fleet.startCarriage();
    fleet.hosts.writeDelayMs = 60;
    const reply = fleet.start(HOST, 't');
    await fleet.time.advance(20);
    for (const { carrier } of fleet.peers.values()) {
      const later = { epoch: 2, channel: 1, sequence: 1, orders: [], abortedIds: [] };
      void carrier.exchange(later);
    }
    expect((await fleet.time.settle(reply, SETTLE_MS)).ok).toEqual(false);
    await fleet.time.advance(SETTLE_MS);
    expect(fleet.hosts.listStarts()).toEqual([]);
  });

  it('carries out no message twice, none out of order and none of an earlier channel', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b']);
    await fleet.startCarriage();
    await fleet.time.settle(fleet.start(HOST, 't'), SETTLE_MS);
    expect(fleet.hosts.listStarts().length).toEqual(1);
    const [sent] = fleet.messages.filter(({ message }) => message.orders.length > 0);
    const { message, address } = sent ?? { message: null, address: '' };
    if (message === null) {
      throw new Error('nothing was sent');
    }
    const { carrier } = fleet.getPeer(address);
    const wrong = [
      message,
      { ...message, sequence: message.sequence + 5 },
      { ...message, channel: message.channel - 1, sequence: 1 },
    ];
    for (const repeated of wrong) {
      const reply = await fleet.time.settle(carrier.exchange(repeated), 100);
      expect(reply.answer).toEqual(ExchangeAnswer.Gap);
    }
    expect(fleet.hosts.listStarts().length).toEqual(1);
  });

  it('sends nothing more for the former term once the next one of the same process has begun', async () => {
    const fleet = new TestFleet(HOST_COUNT, ['a', 'b']);
    await fleet.startCarriage();
    const former = fleet.holdAll(900);
    await fleet.time.advance(50);
    await fleet.startCarriage(2);
    expect(listKinds(await fleet.time.settle(former, 5))).toEqual([OrderRefusal.Unanswered]);
    const reply = await fleet.time.settle(
      fleet.start(HOST, 't', () => true, 2),
      SETTLE_MS,
    );
    expect(reply.ok).toEqual(true);
    expect(fleet.hosts.listStarts().some(({ sender }) => sender === OWNER)).toEqual(false);
  });
});
