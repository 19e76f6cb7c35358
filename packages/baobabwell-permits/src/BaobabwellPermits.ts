/** Holdings and requirement of one entry for one team, reported to the team's keeper. */
export type HoldingReport = {
  readonly team: string;
  /** Number of permits that the entry holds; it starts no work beyond them. */
  readonly held: number;
  /** Number of permits in use plus number of calls that wait for a permit. */
  readonly needed: number;
};

/**
 * Report of one entry to one keeper. The entry holds and needs no permits of a team that the report
 * does not list.
 */
export type PermitReport = {
  /** Key of the entry and its incarnation. */
  readonly member: string;
  /** Digest of the membership in the entry's current view. */
  readonly membership: string;
  /** Increases with each report of one incarnation to one keeper. */
  readonly sequence: number;
  /** True once the entry has stopped starting work and has no permit in use. */
  readonly isLeaving: boolean;
  readonly holdings: readonly HoldingReport[];
};

/** Permits that a keeper lends to one entry for one team. */
export type Loan = {
  readonly team: string;
  /** Number of permits that the entry may hold from now on. */
  readonly held: number;
  /** Number of permits that the entry may use; it returns the excess as work ends. */
  readonly allowed: number;
  /** Number of permits that the entry keeps after they have been unused for a long time. */
  readonly reserve: number;
  /** Whether other entries wait for permits, in which case this entry keeps no reserve. */
  readonly isContended: boolean;
};

/** A keeper's reply to a report. */
export type PermitReply =
  | {
      readonly kind: 'loans';
      /** Version of the view whose limits were applied. */
      readonly version: number;
      readonly loans: readonly Loan[];
    }
  /** The memberships of keeper and entry differ; the report was discarded. */
  | { readonly kind: 'other-membership' }
  /** The keeper has already received a later report; this one was discarded. */
  | { readonly kind: 'overtaken' }
  /** The keeper's view is too old to lend permits. */
  | { readonly kind: 'not-current' };
