import type { HostOrders } from '@baobabwell/platform';

import { expect } from 'earl';

import { CarriedKind, ExchangeAnswer, OrderCarrier } from '@baobabwell/carriers';
import { Logger, LogLevel } from '@baobabwell/logging';
import { buildPeerServer, HttpPeerConnector } from '@baobabwell/peers';
import { addTime, createOk, readClocks, SystemClock } from '@baobabwell/utils';

import { buildDaemonRouter, PeerClients } from '../../BaobabwellDaemonPeers';

const SECRET = 'secret';

type RouterOptions = Parameters<typeof buildDaemonRouter>[0];

describe('messages to carriers', () => {
  it('bring orders to a peer and their results back', async () => {
    const clock = new SystemClock();
    const started: string[] = [];
    const orders = {
      start: async (host: { id: string }, order: { task: string; isAllowed: () => boolean }) => {
        started.push(`${host.id} ${order.task} ${order.isAllowed()}`);
        return createOk(17);
      },
    } as unknown as HostOrders;
    const carrier = new OrderCarrier({ clock, orders, incarnation: 'i' });
    const server = await buildPeerServer(
      buildDaemonRouter({ carrier } as unknown as RouterOptions),
      SECRET,
    );
    const address = (await server.listen({ host: '127.0.0.1', port: 0 })).replace('http://', '');
    const connector = new HttpPeerConnector(SECRET);
    const logger = new Logger(LogLevel.Error, {});
    const peers = new PeerClients({ clock, logger, getConnector: () => connector });
    const order = {
      task: 't',
      run: 1,
      payload: '',
      leaseEndMs: 1,
      epoch: 1,
      checkpoint: '',
      ticket: null,
    };
    const reply = await peers.request(address, async (client) =>
      client.exchangeOrders.mutate({
        epoch: 1,
        channel: 1,
        sequence: 1,
        orders: [
          {
            kind: CarriedKind.Start,
            id: 1,
            host: { id: 'h', address: 'h' },
            validUntil: addTime(readClocks(clock), 10_000),
            order,
          },
        ],
        abortedIds: [],
      }),
    );
    await connector.close();
    await server.close();
    expect(started).toEqual(['h t true']);
    expect(reply?.answer).toEqual(ExchangeAnswer.Accepted);
    expect(reply?.results).toEqual([{ id: 1, result: createOk(17) }]);
  });
});
