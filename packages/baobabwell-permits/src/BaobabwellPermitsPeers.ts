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

/** Handlers for the requests of peers. */
export type PermitPeerService = {
  /** Handles a report to this entry as keeper. */
  readonly handleReport: (report: PermitReport) => PermitReply;
  /** Handles the request of a keeper to report now. */
  readonly handleReportRequest: (keeper: string) => void;
};

/** Builds the router of the procedures for lending permits between entries. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types
export function buildPermitRouter({ handleReport, handleReportRequest }: PermitPeerService) {
  return createPeerRouter({
    permits: createPeerRouter({
      report: peerProcedure.input(reportSchema).mutation(({ input }) => handleReport(input)),
      nudge: peerProcedure.input(z.object({ keeper: z.string() })).mutation(({ input }) => {
        handleReportRequest(input.keeper);
        return {};
      }),
    }),
  });
}

/** The router that {@link buildPermitRouter} builds. */
export type PermitPeerRouter = ReturnType<typeof buildPermitRouter>;

/** Member of the fleet as keeper and borrower. Operations may reject. */
export abstract class PermitPeer {
  /** Sends a report to the member as keeper. */
  abstract report(report: PermitReport): Promise<PermitReply>;

  /** Asks the member to report to `keeper` now. */
  abstract requestReport(keeper: string): Promise<void>;
}

/** Calls this entry's own handlers as keeper and borrower. */
export class LocalPermitPeer extends PermitPeer {
  readonly #service: PermitPeerService;

  constructor(service: PermitPeerService) {
    super();
    this.#service = service;
  }

  override async report(report: PermitReport): Promise<PermitReply> {
    return this.#service.handleReport(report);
  }

  override async requestReport(keeper: string): Promise<void> {
    this.#service.handleReportRequest(keeper);
  }
}

/** Calls another entry over the peer connection. */
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

  override async requestReport(keeper: string): Promise<void> {
    await this.#client.permits.nudge.mutate({ keeper });
  }
}
