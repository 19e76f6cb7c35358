import type { ExchangeReply, OrderExchange } from '../index';
import type {
  HoldOrder,
  HostIncarnation,
  HostReport,
  OrderError,
  StartOrder,
  StopOrder,
} from '@baobabwell/platform';
import type { Clock, Result } from '@baobabwell/utils';

import { EmulatedTime, ProcessClock } from '@baobabwell/emulator';
import { Logger, LogLevel } from '@baobabwell/logging';
import { DaemonMetrics } from '@baobabwell/metrics';
import { HostOrders, OrderRefusal } from '@baobabwell/platform';
import { createError, createOk } from '@baobabwell/utils';

import { CarriedHostOrders, CarrierLink, LoadSource, OrderCarrier } from '../index';

/** One-way latencies, in ms. */
const HOST_LATENCY_MS = 1;
const PEER_LATENCY_MS = 2;

/** Time after which an order counts as unanswered, in ms. */
const ORDER_TIMEOUT_MS = 350;

export const OWNER = 'owner';

/** An order as a host receives it. */
export type ReceivedOrder = {
  readonly kind: 'start' | 'stop' | 'hold';
  readonly sender: string;
  readonly host: string;
  readonly run: string;
  readonly atMs: number;
};

/** Hosts as all senders reach them. */
export class TestHosts {
  readonly received: ReceivedOrder[] = [];

  /** Runs by host and task: each start that began one. */
  readonly begun: string[] = [];

  /** Tasks whose runs have ended wherever they are started again. */
  readonly endedTasks = new Set<string>();

  /** Routes without answers, as `sender host`; `sender *` for all hosts. */
  readonly silentRoutes = new Set<string>();

  /** Time from an order until it is about to be written, in ms. */
  writeDelayMs = 0;

  /** Routes on which orders are carried out although no answer arrives. */
  readonly mutedRoutes = new Set<string>();

  listStarts(): readonly ReceivedOrder[] {
    return this.received.filter(({ kind }) => kind === 'start');
  }
}

function createUnanswered(cause: string): Result<never, OrderError> {
  return createError({ kind: OrderRefusal.Unanswered, clockMs: null, cause });
}

function hasRoute(routes: ReadonlySet<string>, sender: string, host: string): boolean {
  return routes.has(`${sender} ${host}`) || routes.has(`${sender} *`);
}

/** Sends the orders of one process to the hosts. */
class TestHostOrders extends HostOrders {
  readonly #sender: string;

  readonly #clock: Clock;

  readonly #hosts: TestHosts;

  constructor(sender: string, clock: Clock, hosts: TestHosts) {
    super();
    this.#sender = sender;
    this.#clock = clock;
    this.#hosts = hosts;
  }

  override async start(host: HostIncarnation, order: StartOrder) {
    if (this.#hosts.writeDelayMs > 0) {
      await this.#clock.wait(this.#hosts.writeDelayMs);
    }
    if (!order.isAllowed()) {
      return createError({ kind: OrderRefusal.NotSent, clockMs: null, cause: 'not allowed' });
    }
    const run = `${order.task}#${order.run}`;
    return this.#send('start', host.id, run, async (): Promise<Result<number, OrderError>> => {
      if (this.#hosts.endedTasks.has(order.task)) {
        return createError({ kind: OrderRefusal.Superseded, clockMs: null, cause: 'ended' });
      }
      if (!this.#hosts.begun.includes(`${host.id} ${run}`)) {
        this.#hosts.begun.push(`${host.id} ${run}`);
      }
      return createOk(this.#clock.getNow());
    });
  }

  override async stop(host: HostIncarnation, order: StopOrder) {
    return this.#send('stop', host.id, `${order.task}#${order.run}`, async () =>
      createOk(this.#clock.getNow()),
    );
  }

  override async setCpuLimit() {
    return createOk(0);
  }

  override async hold(host: HostIncarnation, order: HoldOrder) {
    return this.#send('hold', host.id, '', async (): Promise<Result<HostReport, OrderError>> => {
      await this.#clock.wait(order.waitMs, order.signal);
      if (order.signal.aborted) {
        return createUnanswered('aborted');
      }
      const clockMs = this.#clock.getNow();
      const ended = { position: 3, task: 't', run: 1, end: 'done', checkpoint: '' };
      return createOk({
        clockMs,
        bornMs: 7,
        active: [],
        ended: [ended] as unknown as HostReport['ended'],
        isPartial: false,
      });
    });
  }

  async #send<Value>(
    kind: ReceivedOrder['kind'],
    host: string,
    run: string,
    answer: () => Promise<Result<Value, OrderError>>,
  ): Promise<Result<Value, OrderError>> {
    await this.#clock.wait(HOST_LATENCY_MS);
    if (hasRoute(this.#hosts.silentRoutes, this.#sender, host)) {
      await this.#clock.wait(ORDER_TIMEOUT_MS);
      return createUnanswered('silent');
    }
    const atMs = this.#clock.getNow();
    this.#hosts.received.push({ kind, sender: this.#sender, host, run, atMs });
    const reply = await answer();
    if (hasRoute(this.#hosts.mutedRoutes, this.#sender, host)) {
      await this.#clock.wait(ORDER_TIMEOUT_MS);
      return createUnanswered('muted');
    }
    await this.#clock.wait(HOST_LATENCY_MS);
    return reply;
  }
}

/** A process that carries orders. */
export type TestPeer = {
  readonly clock: ProcessClock;
  readonly carrier: OrderCarrier;
};

/** The load of the owner, as a test sets it. */
class TestLoad extends LoadSource {
  share = 0;

  readonly #clock: Clock;

  #activeMs = 0;

  #readAtMs = 0;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  override getActiveMs(): number {
    const nowMs = this.#clock.getNow();
    this.#activeMs += (nowMs - this.#readAtMs) * this.share;
    this.#readAtMs = nowMs;
    return this.#activeMs;
  }
}

/** An owner, peers and hosts on one clock. */
export class TestFleet extends CarrierLink {
  readonly time = new EmulatedTime();

  readonly hosts = new TestHosts();

  readonly clock = new ProcessClock(this.time);

  readonly load = new TestLoad(this.clock);

  readonly peers = new Map<string, TestPeer>();

  readonly messages: { readonly address: string; readonly message: OrderExchange }[] = [];

  readonly logLines: string[] = [];

  /** Peers whose answers get lost. */
  readonly mutedPeers = new Set<string>();

  /** Time by which messages to peers are late, in ms. */
  lateMs = 0;

  leaseLeftMs = 1_500;

  readonly orders: CarriedHostOrders;

  readonly #hostIds: readonly string[];

  #life = 0;

  constructor(hostCount: number, peerNames: readonly string[]) {
    super();
    this.#hostIds = Array.from({ length: hostCount }, (_, index) => `host-${index}`);
    peerNames.forEach((name) => this.startPeer(name));
    this.orders = new CarriedHostOrders({
      clock: this.clock,
      logger: new Logger(LogLevel.Info, {}, (line) => this.logLines.push(line)),
      metrics: new DaemonMetrics().carriage,
      direct: new TestHostOrders(OWNER, this.clock, this.hosts),
      link: this,
      load: this.load,
      startResponseTimer: (timeoutMs, handleTimeout) =>
        this.clock.startTimer(timeoutMs, handleTimeout),
      listPeers: () => [...this.peers.keys()],
      getLeaseLeftMs: () => this.leaseLeftMs,
    });
  }

  /** Starts a process, or a new incarnation of it. */
  startPeer(name: string): void {
    this.peers.get(name)?.clock.kill();
    const clock = new ProcessClock(this.time);
    this.#life += 1;
    const orders = new TestHostOrders(name, clock, this.hosts);
    const carrier = new OrderCarrier({ clock, orders, incarnation: String(this.#life) });
    this.peers.set(name, { clock, carrier });
  }

  getPeer(name: string): TestPeer {
    const peer = this.peers.get(name);
    if (peer === undefined) {
      throw new Error(`no peer ${name}`);
    }
    return peer;
  }

  override async exchange(address: string, message: OrderExchange): Promise<ExchangeReply | null> {
    const peer = this.getPeer(address);
    // As it is on the wire: nothing is shared between two processes.
    const sent = JSON.parse(JSON.stringify(message)) as OrderExchange;
    this.messages.push({ address, message: sent });
    return new Promise((resolve) => {
      peer.clock.startTimer(PEER_LATENCY_MS + this.lateMs, () => {
        void peer.carrier.exchange(sent).then((reply) => {
          const answer = JSON.parse(JSON.stringify(reply)) as ExchangeReply;
          if (!this.mutedPeers.has(address)) {
            this.clock.startTimer(PEER_LATENCY_MS, () => resolve(answer));
          }
        });
      });
    });
  }

  /** Sends a hold call to each host. */
  async holdAll(
    waitMs = 0,
    signal = new AbortController().signal,
    epoch = 1,
  ): Promise<readonly Result<HostReport, OrderError>[]> {
    const calls = this.#hostIds.map(async (id) =>
      this.orders.hold(
        { id, address: id },
        {
          epoch,
          acknowledgedPosition: 0,
          leaseEndMs: 5_000,
          waitMs,
          signal: AbortSignal.any([signal]),
        },
      ),
    );
    return Promise.all(calls);
  }

  /** Starts one run. */
  async start(
    host: string,
    task: string,
    isAllowed: () => boolean = () => true,
    epoch = 1,
    payload = '',
  ): Promise<Result<number, OrderError>> {
    return this.orders.start(
      { id: host, address: host },
      {
        task,
        run: 1,
        payload,
        leaseEndMs: 5_000,
        epoch,
        checkpoint: '',
        ticket: null,
        isAllowed,
      },
    );
  }

  /** Keeps the owner busy until its orders are carried. */
  async startCarriage(epoch = 1): Promise<void> {
    this.load.share = 0.95;
    for (let round = 0; round < 12; round += 1) {
      void this.holdAll(0, new AbortController().signal, epoch);
      await this.time.advance(100);
    }
    this.hosts.received.length = 0;
    this.messages.length = 0;
  }
}
