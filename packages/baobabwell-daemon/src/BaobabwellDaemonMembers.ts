import type { MemoryLimits } from '@baobabwell/jobs';
import type { Logger } from '@baobabwell/logging';
import type { WatchableTableService } from '@baobabwell/platform';
import type { Clock } from '@baobabwell/utils';

import { z } from 'zod';

import { computeMemoryLimits } from '@baobabwell/jobs';

const MEMBERS_TABLE = 'members';

/** Interval between two reads of the members, in ms; they change only with the set of machines. */
const READ_INTERVAL_MS = 5_000;

/** Delay after a failure, in ms. */
const RETRY_DELAY_MS = 500;

const memberRow = z.object({
  address: z.string(),
  /** Limit of the process's heap, in bytes; older builds store none. */
  heapBytes: z.number().positive().optional(),
});

/** Tracks the addresses at which the other processes serve their peers, and their memory. */
export class MemberDirectory {
  readonly #store: WatchableTableService;

  readonly #clock: Clock;

  readonly #logger: Logger;

  readonly #name: string;

  readonly #address: string;

  readonly #heapBytes: number;

  #peerAddresses: readonly string[] = [];

  #memoryLimits: MemoryLimits;

  constructor(options: {
    readonly store: WatchableTableService;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly name: string;
    readonly address: string;
    /** Limit of the heap of this process, in bytes. */
    readonly heapBytes: number;
  }) {
    this.#store = options.store;
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#name = options.name;
    this.#address = options.address;
    this.#heapBytes = options.heapBytes;
    this.#memoryLimits = computeMemoryLimits(options.heapBytes);
  }

  /** Lists the addresses of the other processes as last read; some may no longer be running. */
  listPeerAddresses(): readonly string[] {
    return this.#peerAddresses;
  }

  /** Returns what the process with the smallest heap may keep, as far as the others are known. */
  getMemoryLimits(): MemoryLimits {
    return this.#memoryLimits;
  }

  /** Registers this process as a member and reads the other members until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    let isRegistered = false;
    while (!signal.aborted) {
      isRegistered ||= await this.#registerMember();
      const page = await this.#store.list({ table: MEMBERS_TABLE });
      if (page.ok) {
        const peers = page.value.rows
          .filter(({ key }) => key !== this.#name)
          .map(({ value }) => memberRow.safeParse(value).data ?? null)
          .filter((row) => row !== null);
        this.#peerAddresses = peers.map(({ address }) => address);
        const heapBytes = peers.map((peer) => peer.heapBytes ?? Infinity);
        this.#memoryLimits = computeMemoryLimits(Math.min(this.#heapBytes, ...heapBytes));
      } else {
        this.#logger.recordWarning('members-not-read', { reason: page.error.kind });
      }
      await this.#clock.wait(page.ok && isRegistered ? READ_INTERVAL_MS : RETRY_DELAY_MS, signal);
    }
  }

  async #registerMember(): Promise<boolean> {
    const value = { address: this.#address, heapBytes: this.#heapBytes };
    const reply = await this.#store.commit({
      conditions: [],
      writes: [{ table: MEMBERS_TABLE, key: this.#name, value }],
    });
    return reply.ok;
  }
}
