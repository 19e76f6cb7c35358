import type { PermitReply, PermitReport } from './BaobabwellPermits';
import type { PeerConnector } from '@baobabwell/peers';
import type { TRPCClient } from '@trpc/client';

import { createTRPCClient } from '@trpc/client';
import { z } from 'zod';

import { createPeerRouter, peerProcedure } from '@baobabwell/peers';

const count = z.number().int().nonnegative();

const reportSchema = z.object({
  member: z.string(),
  membership: z.string(),
  sequence: count,
  isLeaving: z.boolean(),
  holdings: z.array(z.object({ team: z.string(), held: count, needed: count })),
});

/** What an entry offers to its peers. */
export type PermitPeerService = {
  /** Answers a report as the keeper. */
  readonly handleReport: (report: PermitReport) => PermitReply;
  /** Reports to a keeper at once. */
  readonly handleNudge: (keeper: string) => void;
};

/** Builds the procedures by which entries lend permits to each other. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types
export function buildPermitRouter({ handleReport, handleNudge }: PermitPeerService) {
  return createPeerRouter({
    permits: createPeerRouter({
      report: peerProcedure.input(reportSchema).mutation(({ input }) => handleReport(input)),
      nudge: peerProcedure.input(z.object({ keeper: z.string() })).mutation(({ input }) => {
        handleNudge(input.keeper);
        return {};
      }),
    }),
  });
}

/** The router that {@link buildPermitRouter} builds. */
export type PermitPeerRouter = ReturnType<typeof buildPermitRouter>;

/** One member of the fleet as a keeper and as a borrower. Operations may reject. */
export abstract class PermitPeer {
  /** Reports to the member as keeper. */
  abstract report(report: PermitReport): Promise<PermitReply>;

  /** Asks the member to report to `keeper` at once. */
  abstract nudge(keeper: string): Promise<void>;
}

/** This entry's own part as keeper and borrower. */
export class LocalPermitPeer extends PermitPeer {
  readonly #service: PermitPeerService;

  constructor(service: PermitPeerService) {
    super();
    this.#service = service;
  }

  override async report(report: PermitReport): Promise<PermitReply> {
    return this.#service.handleReport(report);
  }

  override async nudge(keeper: string): Promise<void> {
    this.#service.handleNudge(keeper);
  }
}

/** Another entry, reached over the peers' connection. */
export class RemotePermitPeer extends PermitPeer {
  readonly #client: TRPCClient<PermitPeerRouter>;

  constructor(connector: PeerConnector, address: string) {
    super();
    this.#client = createTRPCClient<PermitPeerRouter>({ links: [connector.createLink(address)] });
  }

  override async report(report: PermitReport): Promise<PermitReply> {
    return this.#client.permits.report.mutate({
      ...report,
      holdings: [...report.holdings],
    });
  }

  override async nudge(keeper: string): Promise<void> {
    await this.#client.permits.nudge.mutate({ keeper });
  }
}
