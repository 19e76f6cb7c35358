import type { Result } from '@baobabwell/utils';

/** A host on which a step may run, and the ticket that start orders for the host must include. */
export type AdvisedHost = { readonly hostId: string; readonly ticket: string };

/** Failure of a request for advice. */
export type AdvisorError = { readonly isBusy: boolean; readonly cause: string };

/** Service that decides which hosts may run a step. Its promises never reject. */
export abstract class PlacementAdvisor {
  /**
   * Requests the subset of the given hosts, at most 100, on which a step may run.
   *
   * @param step name of the step: job, occurrence and position, joined by dots.
   */
  abstract requestAdvice(
    step: string,
    hostIds: readonly string[],
  ): Promise<Result<readonly AdvisedHost[], AdvisorError>>;
}
